package rpc

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrDisconnected means that the connection failed or could not be established; it is
// unknown whether the call was received.
const ErrDisconnected = errors.ConstError("connection lost or not established")

// queuedFrameLimit is the maximum number of calls that wait for a connection or in its
// outbox.
const queuedFrameLimit = 4096

const redialDelay = 50 * time.Millisecond

// Client is a connection to another process. It is established on the first call and
// again on the next call after it failed. Replies are matched to calls by number.
type Client struct {
	Address string
	// OnReconnect, if set, is called each time the connection is re-established.
	OnReconnect func()
	// OnReject, if set, is called for each call that the callee rejects.
	OnReject func(*RejectedError)
	// OnSend, if set, is called with the size of each call in bytes.
	OnSend          func(bytes int)
	connectedBefore bool
	connectTimeout  time.Duration
	silenceTimeout  time.Duration

	lock       sync.Mutex
	conn       net.Conn
	outbox     *outbox
	lastNumber uint64
	pending    map[uint64]pendingCall
	// retryAt prevents every call from dialing an unreachable address.
	retryAt time.Time
	dialing bool
	// closing is set if Close was called while dialing.
	closing bool
	queued  []func()
}

// pendingCall is a call that waits for its replies, which have the same kind.
type pendingCall struct {
	kind   Kind
	bytes  int
	handle func([]byte, error)
}

// NewClient returns a client that dials on the first call.
func NewClient(address string, connectTimeout, silenceTimeout time.Duration) *Client {
	return &Client{Address: address, connectTimeout: connectTimeout, silenceTimeout: silenceTimeout}
}

// Send makes a call without waiting. It passes each reply to handle on the client's
// read goroutine; after an error, handle is not called again. handle stays registered
// until forget is called; if it is nil, replies are ignored. A forgotten call is still
// sent.
func (c *Client) Send(kind Kind, body any, handle func([]byte, error)) (forget func()) {
	forget, _ = c.send(kind, body, handle)
	return forget
}

// SendRevocable makes a call as Send does. Revoking it also forgets it, and drops it
// if writing it has not begun: a call with a deadline must not arrive after it.
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
		c.pending[number] = pendingCall{kind, out.size(), handle}
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

// Close closes the connection, including one that is being dialed. Pending calls fail,
// and a later call opens a new connection.
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

// failPending fails every pending call. The lock must be held.
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
			// The reply matches no call of this client: later frames can't be trusted either.
			break
		}
		if f.Rejection != 0 {
			c.rejected(&RejectedError{Kind: call.kind, Bytes: call.bytes, Rejection: f.Rejection}, call.handle)
			continue
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

func (c *Client) rejected(err *RejectedError, handle func([]byte, error)) {
	if c.OnReject != nil {
		c.OnReject(err)
	}
	handle(nil, err)
}
