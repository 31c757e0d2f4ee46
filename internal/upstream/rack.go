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
func (o Delivery) notServing() bool { return o.Serving != nil && !o.Serving() }

// Deliver sends the inquiry to the server and reads its reply. The error is
// ErrNotSent, which is also ErrServerLeft where the server has left, or ErrUnknown.
//
// Example:
//
//	reply, err := rack.Deliver(order)
func (r *Pool) Deliver(order Delivery) (*Response, error) {
	h := r.get()
	if h == nil {
		var err error
		if h, err = dial(r.Address, min(order.ConnectTimeout, time.Until(order.Deadline)), r.ReceiveWindow); err != nil {
			if order.notServing() {
				err = errors.WithType(err, ErrNotServing)
			}
			return nil, errors.WithType(err, ErrNotSent)
		}
	}
	if order.notServing() {
		r.put(h)
		return nil, errors.WithType(errors.WithType(errors.New("no longer serving"), ErrNotServing), ErrNotSent)
	}
	left := time.Until(order.Deadline)
	if left <= 0 || order.MaySend != nil && !order.MaySend() {
		r.put(h)
		return nil, errors.WithType(errors.Timeoutf("the time to send"), ErrNotSent)
	}
	_ = h.conn.SetDeadline(order.ResponseDeadline)
	stop := h.closeOnCancel(order.ClientContext)
	if count, err := h.send(order, left, r.Instance); err != nil {
		defer stop()
		return h.handleSendError(order, count, err)
	}
	reply, err := h.receive(order)
	if err != nil {
		stop()
		_ = h.conn.Close()
		return nil, errors.WithType(err, ErrOutcomeUnknown)
	}
	finish := func(isWhole bool) {
		stop()
		h.noReuse = h.noReuse || !isWhole
		r.put(h)
	}
	if reply.Remainder != nil {
		reply.finish = finish
		return reply, nil
	}
	finish(true)
	return reply, nil
}

// unsent ends a delivery whose inquiry did not go out whole. Of what none was
// written, nothing can have run. A server that answers before it has read all and
// closes then has left its reply, which is as good as any.
func (h *connection) handleSendError(order Delivery, count int, err error) (*Response, error) {
	defer h.conn.Close()
	if count == 0 {
		return nil, errors.WithType(err, ErrNotSent)
	}
	if reply, replyErr := h.receive(order); replyErr == nil && reply.Remainder == nil {
		return reply, nil
	}
	return nil, errors.WithType(err, ErrOutcomeUnknown)
}

// breakOn breaks the connection once the context ends, until it is told to stop. A
// connection that may be breaking just then is not used again.
func (h *connection) closeOnCancel(left context.Context) (stop func()) {
	if left == nil {
		return func() {}
	}
	end := context.AfterFunc(left, func() { _ = h.conn.Close() })
	return func() { h.noReuse = !end() || h.noReuse }
}

func (r *Pool) get() *connection {
	now := time.Now()
	for {
		r.lock.Lock()
		if len(r.idle) == 0 {
			r.lock.Unlock()
			return nil
		}
		h := r.idle[len(r.idle)-1]
		r.idle = r.idle[:len(r.idle)-1]
		r.lock.Unlock()
		if h.usable(now) {
			return h
		}
		_ = h.conn.Close()
	}
}

func (r *Pool) put(h *connection) {
	if !h.reusable() {
		_ = h.conn.Close()
		return
	}
	_ = h.conn.SetDeadline(time.Time{})
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.closed || len(r.idle) >= maxIdleConnections {
		_ = h.conn.Close()
		return
	}
	r.idle = append(r.idle, h)
}

// Close ends the idle connections; those at work end when they are done.
//
// Example:
//
//	rack.Close()
func (r *Pool) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.closed = true
	for _, h := range r.idle {
		_ = h.conn.Close()
	}
	r.idle = nil
}
