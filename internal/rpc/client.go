package rpc

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrCut says that the line broke or could not be made; whether the call was
// received is not known.
const ErrDisconnected = errors.ConstError("the line is cut")

// lineFrames is how many calls may wait for the line.
const queuedFrameLimit = 4096

const redialDelay = 50 * time.Millisecond

// Line is a connection to another process that is made when it is needed and
// made again after it broke. Calls are numbered; replies come to closures.
type Client struct {
	Address string
	// Again, if set, is called each time the line was made again after it broke.
	OnReconnect func()
	// Sent, if set, is told how many bytes each call sends.
	OnSend          func(bytes int)
	connectedBefore bool
	connectTimeout  time.Duration
	silenceTimeout  time.Duration

	lock       sync.Mutex
	conn       net.Conn
	outbox     *outbox
	lastNumber uint64
	pending    map[uint64]pendingCall
	// retryAt keeps a dead address from being dialled by every call.
	retryAt time.Time
	dialing bool
	// isClosing: Close came while the connection was being made.
	closing bool
	queued  []func()
}

// pending is a call that waits for its replies, which are of its own kind.
type pendingCall struct {
	kind   Kind
	handle func([]byte, error)
}

// NewLine makes a line; nothing is dialled yet.
//
// Example:
//
//	line := rpc.NewLine("10.1.0.42:7200", 500*time.Millisecond, 2*time.Second)
func NewClient(address string, connectTimeout, silenceTimeout time.Duration) *Client {
	return &Client{Address: address, connectTimeout: connectTimeout, silenceTimeout: silenceTimeout}
}

// Send makes a call and gives each of its replies to the closure, from the
// line's own goroutine; an error is the last thing given. It does not wait. The
// closure stays until it is forgotten; without one, replies are passed over. A call
// that is forgotten is sent all the same.
//
// Example:
//
//	line.Send(KindPing, nil, func(body []byte, err error) { got <- err })
func (c *Client) Send(kind Kind, body any, handle func([]byte, error)) (forget func()) {
	forget, _ = c.send(kind, body, handle)
	return forget
}

// SendRevocable makes a call as Send does. Once it is revoked, it is forgotten, and
// never sent if that has not begun: what has a bound is not to come after it.
//
// Example:
//
//	revoke := line.SendRevocable(KindReserve, intent, take)
//	defer revoke()
func (c *Client) SendRevocable(kind Kind, body any, handle func([]byte, error)) (revoke func()) {
	_, revoke = c.send(kind, body, handle)
	return revoke
}

func (c *Client) send(kind Kind, body any, handle func([]byte, error)) (forget, revoke func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastNumber++
	number := c.lastNumber
	forget = func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		delete(c.pending, number)
	}
	out, err := encodeFrame(number, kind, body)
	if err != nil {
		if handle != nil {
			go handle(nil, err)
		}
		return forget, forget
	}
	revoke = func() {
		out.revoked.Store(true)
		forget()
	}
	if c.pending == nil {
		c.pending = map[uint64]pendingCall{}
	}
	if handle != nil {
		c.pending[number] = pendingCall{kind, handle}
	}
	reject := func() {
		if delete(c.pending, number); handle != nil {
			go handle(nil, ErrDisconnected)
		}
	}
	enqueue := func() {
		if c.OnSend != nil {
			c.OnSend(out.size())
		}
		if !c.outbox.enqueue(c.conn, out) {
			reject()
		}
	}
	switch {
	case c.conn != nil:
		enqueue()
	case c.dialing && len(c.queued) >= queuedFrameLimit:
		reject()
	case c.dialing:
		c.queued = append(c.queued, enqueue)
	case time.Now().Before(c.retryAt):
		reject()
	default:
		c.dialing = true
		c.queued = append(c.queued, enqueue)
		go c.dial()
	}
	return forget, revoke
}

// Close ends the connection, also one that is being made; calls that wait for it
// get their error, and a later call makes a new one.
//
// Example:
//
//	line.Close()
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.closing = c.dialing
}

func (c *Client) dial() {
	conn, err := Dial(c.Address, c.connectTimeout, c.silenceTimeout)
	c.lock.Lock()
	defer c.lock.Unlock()
	closing := c.closing
	c.dialing, c.closing = false, false
	queued := c.queued
	c.queued = nil
	if err != nil {
		c.retryAt = time.Now().Add(redialDelay)
		c.failPending()
		return
	}
	if closing {
		_ = conn.Close()
		c.failPending()
		return
	}
	c.conn, c.outbox = conn, newOutbox(conn, queuedFrameLimit)
	for _, enqueue := range queued {
		enqueue()
	}
	go c.read(conn, c.outbox)
	if c.connectedBefore && c.OnReconnect != nil {
		go c.OnReconnect()
	}
	c.connectedBefore = true
}

// fail gives every waiting call its error; the lock is held.
func (c *Client) failPending() {
	pending := c.pending
	c.pending = nil
	go func() {
		for _, call := range pending {
			call.handle(nil, ErrDisconnected)
		}
	}()
}

func (c *Client) read(conn net.Conn, outbox *outbox) {
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		f, err := readFrame(reader)
		if err != nil {
			break
		}
		c.lock.Lock()
		call, ok := c.pending[f.Number]
		c.lock.Unlock()
		if !ok {
			continue
		}
		if call.kind != f.Kind {
			// It answers no call of this line: nothing that follows can be trusted.
			break
		}
		call.handle(f.Body, nil)
	}
	_ = conn.Close()
	close(outbox.done)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn == conn {
		c.conn, c.outbox = nil, nil
	}
	c.failPending()
}
