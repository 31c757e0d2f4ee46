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
type Rack struct {
	Address  string
	Instance string
	// Window bounds, if set, what the server may have on its way at once.
	Window int

	lock     sync.Mutex
	idle     []*hook
	isClosed bool
}

// Order is how one delivery is to be made.
type Order struct {
	Inquiry *Inquiry
	// Due is when the client stops waiting; the server is told what is left.
	Due time.Time
	// Last is how long to wait for the reply itself.
	Last    time.Time
	Connect time.Duration
	// Buffer is up to which length a reply is checked whole before it is handed on.
	Buffer int64
	// PassOn, if set, is from which length on a success is handed on as it comes.
	PassOn int64
	// In and Out are the directions of the machine's link.
	In, Out *bandwidth.Track
	// Left, if set, ends when nobody waits for the reply any more: then the
	// connection is broken, so that the server may stop.
	Left context.Context
	// IsServing, if set, is asked immediately before the first byte is sent: a
	// server that has left meanwhile gets nothing.
	IsServing func() bool
	// MaySend, if set, is asked immediately before the first byte is sent.
	MaySend func() bool
}

const idleLimit = 6

// serverLeft tells whether the server is known to have left.
func (o Order) serverLeft() bool { return o.IsServing != nil && !o.IsServing() }

// Deliver sends the inquiry to the server and reads its reply. The error is
// ErrNotSent, which is also ErrServerLeft where the server has left, or ErrUnknown.
//
// Example:
//
//	reply, err := rack.Deliver(order)
func (r *Rack) Deliver(order Order) (*Reply, error) {
	h := r.pop()
	if h == nil {
		var err error
		if h, err = dialHook(r.Address, min(order.Connect, time.Until(order.Due)), r.Window); err != nil {
			if order.serverLeft() {
				err = errors.WithType(err, ErrServerLeft)
			}
			return nil, errors.WithType(err, ErrNotSent)
		}
	}
	if order.serverLeft() {
		r.push(h)
		return nil, errors.WithType(errors.WithType(errors.New("no longer serving"), ErrServerLeft), ErrNotSent)
	}
	left := time.Until(order.Due)
	if left <= 0 || order.MaySend != nil && !order.MaySend() {
		r.push(h)
		return nil, errors.WithType(errors.Timeoutf("the time to send"), ErrNotSent)
	}
	_ = h.conn.SetDeadline(order.Last)
	stop := h.breakOn(order.Left)
	if count, err := h.send(order, left, r.Instance); err != nil {
		defer stop()
		return h.unsent(order, count, err)
	}
	reply, err := h.receive(order)
	if err != nil {
		stop()
		_ = h.conn.Close()
		return nil, errors.WithType(err, ErrUnknown)
	}
	finish := func(isWhole bool) {
		stop()
		h.isDone = h.isDone || !isWhole
		r.push(h)
	}
	if reply.Rest != nil {
		reply.finish = finish
		return reply, nil
	}
	finish(true)
	return reply, nil
}

// unsent ends a delivery whose inquiry did not go out whole. Of what none was
// written, nothing can have run. A server that answers before it has read all and
// closes then has left its reply, which is as good as any.
func (h *hook) unsent(order Order, count int, err error) (*Reply, error) {
	defer h.conn.Close()
	if count == 0 {
		return nil, errors.WithType(err, ErrNotSent)
	}
	if reply, replyErr := h.receive(order); replyErr == nil && reply.Rest == nil {
		return reply, nil
	}
	return nil, errors.WithType(err, ErrUnknown)
}

// breakOn breaks the connection once the context ends, until it is told to stop. A
// connection that may be breaking just then is not used again.
func (h *hook) breakOn(left context.Context) (stop func()) {
	if left == nil {
		return func() {}
	}
	end := context.AfterFunc(left, func() { _ = h.conn.Close() })
	return func() { h.isDone = !end() || h.isDone }
}

func (r *Rack) pop() *hook {
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
		if h.isQuiet(now) {
			return h
		}
		_ = h.conn.Close()
	}
}

func (r *Rack) push(h *hook) {
	if !h.mayReuse() {
		_ = h.conn.Close()
		return
	}
	_ = h.conn.SetDeadline(time.Time{})
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.isClosed || len(r.idle) >= idleLimit {
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
func (r *Rack) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isClosed = true
	for _, h := range r.idle {
		_ = h.conn.Close()
	}
	r.idle = nil
}
