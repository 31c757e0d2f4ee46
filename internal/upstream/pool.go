package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/bandwidth"
)

// Rack holds the connections to one server and delivers over them. Unlike
// http.Transport it never sends an inquiry again by itself, and it passes over
// replies that belong to other inquiries; see docs/design.md.
type Pool struct {
	Address  string
	Instance string
	// Window bounds, if set, what the server may have on its way at once.
	ReceiveWindow int

	lock   sync.Mutex
	idle   []*connection
	closed bool
}

// Order is how one delivery is to be made.
type Delivery struct {
	Request *Request
	// Due is when the client stops waiting; the server is told what is left.
	Deadline time.Time
	// Last is how long to wait for the reply itself.
	ResponseDeadline time.Time
	ConnectTimeout   time.Duration
	// Buffer is up to which length a reply is checked whole before it is handed on.
	BufferLimit int64
	// PassOn, if set, is from which length on a success is handed on as it comes.
	StreamThreshold int64
	// In and Out are the directions of the machine's link.
	Inbound, Outbound *bandwidth.Track
	// Left, if set, ends when nobody waits for the reply any more: then the
	// connection is broken, so that the server may stop.
	ClientContext context.Context
	// IsServing, if set, is asked immediately before the first byte is sent: a
	// server that has left meanwhile gets nothing.
	Serving func() bool
	// MaySend, if set, is asked immediately before the first byte is sent.
	MaySend func() bool
}

const maxIdleConnections = 6

// serverLeft tells whether the server is known to have left.
func (d Delivery) notServing() bool { return d.Serving != nil && !d.Serving() }

// Deliver sends the inquiry to the server and reads its reply. The error is
// ErrNotSent, which is also ErrServerLeft where the server has left, or ErrUnknown.
//
// Example:
//
//	reply, err := rack.Deliver(order)
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
		return nil, errors.WithType(errors.WithType(errors.New("no longer serving"), ErrNotServing), ErrNotSent)
	}
	remaining := time.Until(delivery.Deadline)
	if remaining <= 0 || delivery.MaySend != nil && !delivery.MaySend() {
		p.put(c)
		return nil, errors.WithType(errors.Timeoutf("the time to send"), ErrNotSent)
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

// unsent ends a delivery whose inquiry did not go out whole. Of what none was
// written, nothing can have run. A server that answers before it has read all and
// closes then has left its reply, which is as good as any.
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

// breakOn breaks the connection once the context ends, until it is told to stop. A
// connection that may be breaking just then is not used again.
func (c *connection) closeOnCancel(ctx context.Context) (stop func()) {
	if ctx == nil {
		return func() {}
	}
	unregister := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	return func() { c.noReuse = !unregister() || c.noReuse }
}

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

// Close ends the idle connections; those at work end when they are done.
//
// Example:
//
//	rack.Close()
func (p *Pool) Close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}
