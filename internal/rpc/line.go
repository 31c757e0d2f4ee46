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
const ErrCut = errors.ConstError("the line is cut")

// lineFrames is how many calls may wait for the line.
const lineFrames = 4096

const redialPause = 50 * time.Millisecond

// Line is a connection to another process that is made when it is needed and
// made again after it broke. Calls are numbered; replies come to closures.
type Line struct {
	Address string
	// Again, if set, is called each time the line was made again after it broke.
	Again func()
	// Sent, if set, is told how many bytes each call sends.
	Sent    func(bytes int)
	made    bool
	connect time.Duration
	silence time.Duration

	lock    sync.Mutex
	conn    net.Conn
	box     *outbox
	last    uint64
	waiting map[uint64]pending
	// retryAt keeps a dead address from being dialled by every call.
	retryAt time.Time
	dialing bool
	// isClosing: Close came while the connection was being made.
	isClosing bool
	queued    []func()
}

// pending is a call that waits for its replies, which are of its own kind.
type pending struct {
	kind Kind
	take func([]byte, error)
}

// NewLine makes a line; nothing is dialled yet.
//
// Example:
//
//	line := rpc.NewLine("10.1.0.42:7200", 500*time.Millisecond, 2*time.Second)
func NewLine(address string, connect, silence time.Duration) *Line {
	return &Line{Address: address, connect: connect, silence: silence}
}

// Send makes a call and gives each of its replies to the closure, from the
// line's own goroutine; an error is the last thing given. It does not wait. The
// closure stays until it is forgotten; without one, replies are passed over. A call
// that is forgotten is sent all the same.
//
// Example:
//
//	line.Send(KindPing, nil, func(body []byte, err error) { got <- err })
func (l *Line) Send(kind Kind, body any, take func([]byte, error)) (forget func()) {
	forget, _ = l.send(kind, body, take)
	return forget
}

// SendRevocable makes a call as Send does. Once it is revoked, it is forgotten, and
// never sent if that has not begun: what has a bound is not to come after it.
//
// Example:
//
//	revoke := line.SendRevocable(KindReserve, intent, take)
//	defer revoke()
func (l *Line) SendRevocable(kind Kind, body any, take func([]byte, error)) (revoke func()) {
	_, revoke = l.send(kind, body, take)
	return revoke
}

func (l *Line) send(kind Kind, body any, take func([]byte, error)) (forget, revoke func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.last++
	number := l.last
	forget = func() {
		l.lock.Lock()
		defer l.lock.Unlock()
		delete(l.waiting, number)
	}
	text, err := packFrame(number, kind, body)
	if err != nil {
		if take != nil {
			go take(nil, err)
		}
		return forget, forget
	}
	revoke = func() {
		text.isRevoked.Store(true)
		forget()
	}
	if l.waiting == nil {
		l.waiting = map[uint64]pending{}
	}
	if take != nil {
		l.waiting[number] = pending{kind, take}
	}
	drop := func() {
		if delete(l.waiting, number); take != nil {
			go take(nil, ErrCut)
		}
	}
	put := func() {
		if l.Sent != nil {
			l.Sent(text.size())
		}
		if !l.box.offer(l.conn, text) {
			drop()
		}
	}
	switch {
	case l.conn != nil:
		put()
	case l.dialing && len(l.queued) >= lineFrames:
		drop()
	case l.dialing:
		l.queued = append(l.queued, put)
	case time.Now().Before(l.retryAt):
		drop()
	default:
		l.dialing = true
		l.queued = append(l.queued, put)
		go l.dial()
	}
	return forget, revoke
}

// Close ends the connection, also one that is being made; calls that wait for it
// get their error, and a later call makes a new one.
//
// Example:
//
//	line.Close()
func (l *Line) Close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
	}
	l.isClosing = l.dialing
}

func (l *Line) dial() {
	conn, err := Dial(l.Address, l.connect, l.silence)
	l.lock.Lock()
	defer l.lock.Unlock()
	isClosing := l.isClosing
	l.dialing, l.isClosing = false, false
	queued := l.queued
	l.queued = nil
	if err != nil {
		l.retryAt = time.Now().Add(redialPause)
		l.fail()
		return
	}
	if isClosing {
		_ = conn.Close()
		l.fail()
		return
	}
	l.conn, l.box = conn, newOutbox(conn, lineFrames)
	for _, put := range queued {
		put()
	}
	go l.read(conn, l.box)
	if l.made && l.Again != nil {
		go l.Again()
	}
	l.made = true
}

// fail gives every waiting call its error; the lock is held.
func (l *Line) fail() {
	waiting := l.waiting
	l.waiting = nil
	go func() {
		for _, call := range waiting {
			call.take(nil, ErrCut)
		}
	}()
}

func (l *Line) read(conn net.Conn, box *outbox) {
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		f, err := readFrame(reader)
		if err != nil {
			break
		}
		l.lock.Lock()
		call, isWaiting := l.waiting[f.Number]
		l.lock.Unlock()
		if !isWaiting {
			continue
		}
		if call.kind != f.Kind {
			// It answers no call of this line: nothing that follows can be trusted.
			break
		}
		call.take(f.Body, nil)
	}
	_ = conn.Close()
	close(box.done)
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.conn == conn {
		l.conn, l.box = nil, nil
	}
	l.fail()
}
