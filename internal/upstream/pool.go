package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/bandwidth"
)

// Pool holds the connections to one server and delivers requests over them. Unlike
// http.Transport it never retries a request by itself, and it skips responses that
// belong to other requests; see docs/design.md.
type Pool struct {
	Address  string
	Instance string
	// ReceiveWindow, if set, limits the bytes in flight from the server.
	ReceiveWindow int

	lock   sync.Mutex
	idle   []*connection
	closed bool
}

// Delivery is a request with the parameters of its delivery.
type Delivery struct {
	Request *Request
	// Deadline is when the client stops waiting; the server is sent the remaining time.
	Deadline time.Time
	// ResponseDeadline is until when the request may be written and the response read.
	ResponseDeadline time.Time
	ConnectTimeout   time.Duration
	// BufferLimit is the length up to which a response body is buffered and checked
	// completely before it is returned.
	BufferLimit int64
	// StreamThreshold, if set, is the length from which on the body of a successful
	// response is streamed.
	StreamThreshold int64
	// Inbound and Outbound are the two directions of the machine's network link.
	Inbound, Outbound *bandwidth.Pacer
	// ClientContext, if set, is canceled when no client waits for the response any more.
	// The connection is then closed, so that the server can stop its work.
	ClientContext context.Context
	// Serving, if set, is called immediately before the first byte is sent: a server
	// that has stopped serving since it was chosen receives nothing.
	Serving func() bool
	// MaySend, if set, is called immediately before the first byte is sent.
	MaySend func() bool
}

// maxIdleConnections is the number of idle connections kept per server.
const maxIdleConnections = 6

// notServing reports whether the server is known to have stopped serving.
func (d Delivery) notServing() bool { return d.Serving != nil && !d.Serving() }

// Deliver sends the request to the server and reads its response. The error is either
// ErrNotSent, together with ErrNotServing if the server has stopped serving, or
// ErrOutcomeUnknown.
func (p *Pool) Deliver(delivery Delivery) (*Response, error) {
	c := p.get()
	if c == nil {
		var err error
		if c, err = dial(p.Address, min(delivery.ConnectTimeout, time.Until(delivery.Deadline)), p.ReceiveWindow); err != nil {
			if delivery.notServing() {
				err = errors.WithType(err, ErrNotServing)
			}
			return nil, errors.WithType(err, ErrNotSent)
		}
	}
	if delivery.notServing() {
		p.put(c)
		return nil, errors.WithType(errors.WithType(errors.New("server stopped serving before the request was sent"), ErrNotServing), ErrNotSent)
	}
	remaining := time.Until(delivery.Deadline)
	if remaining <= 0 || delivery.MaySend != nil && !delivery.MaySend() {
		p.put(c)
		return nil, errors.WithType(errors.Timeoutf("sending the request"), ErrNotSent)
	}
	_ = c.conn.SetDeadline(delivery.ResponseDeadline)
	stop := c.closeOnCancel(delivery.ClientContext)
	if count, err := c.send(delivery, remaining, p.Instance); err != nil {
		defer stop()
		return c.handleSendError(delivery, count, err)
	}
	response, err := c.receive(delivery)
	if err != nil {
		stop()
		_ = c.conn.Close()
		return nil, errors.WithType(err, ErrOutcomeUnknown)
	}
	finish := func(complete bool) {
		stop()
		c.noReuse = c.noReuse || !complete
		p.put(c)
	}
	if response.Remainder != nil {
		response.finish = finish
		return response, nil
	}
	finish(true)
	return response, nil
}

// handleSendError ends a delivery whose request was not written completely. If no byte
// was written, the server cannot have executed it. A server may respond before it has
// read the whole request and then close the connection; that response is valid.
func (c *connection) handleSendError(delivery Delivery, count int, err error) (*Response, error) {
	defer c.conn.Close()
	if count == 0 {
		return nil, errors.WithType(err, ErrNotSent)
	}
	if response, receiveErr := c.receive(delivery); receiveErr == nil && response.Remainder == nil {
		return response, nil
	}
	return nil, errors.WithType(err, ErrOutcomeUnknown)
}

// closeOnCancel closes the connection when the context ends, unless stop is called
// before. A connection that may already be closing is not reused.
func (c *connection) closeOnCancel(ctx context.Context) (stop func()) {
	if ctx == nil {
		return func() {}
	}
	unregister := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	return func() { c.noReuse = !unregister() || c.noReuse }
}

// get returns a usable idle connection, or nil.
func (p *Pool) get() *connection {
	now := time.Now()
	for {
		p.lock.Lock()
		if len(p.idle) == 0 {
			p.lock.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.lock.Unlock()
		if c.usable(now) {
			return c
		}
		_ = c.conn.Close()
	}
}

// put returns a connection to the pool, or closes it if it cannot be reused.
func (p *Pool) put(c *connection) {
	if !c.reusable() {
		_ = c.conn.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed || len(p.idle) >= maxIdleConnections {
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections; those in use are closed after their delivery.
func (p *Pool) Close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}
