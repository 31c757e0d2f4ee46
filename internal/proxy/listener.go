package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// front listens for clients, and bounds how long they may take for a header or stay
// idle by the manifest's limits: net/http takes such spans at its start only.
type clientListener struct {
	*net.TCPListener
	timeouts func() (header, idle time.Duration)
}

// Accept gives the next client's connection.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: conn, timeouts: l.timeouts}, nil
}

// client is one client's connection. The server sets a deadline while it waits for
// a header or for the next inquiry; the connection knows which of them it is, and
// takes the manifest's in its place.
type clientConn struct {
	*net.TCPConn
	timeouts func() (header, idle time.Duration)
	state    atomic.Int32
	// isHead: the deadline for an idle connection was set; the next one is for the
	// header of what came.
	headerPending atomic.Bool
}

// noteState is told by the server what a connection waits for.
func recordConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok {
		c.state.Store(int32(state))
		c.headerPending.Store(false)
	}
}

// SetReadDeadline sets the manifest's deadline where the server sets its own.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	header, idle := c.timeouts()
	state := http.ConnState(c.state.Load())
	waiting := state == http.StateNew || state == http.StateIdle
	switch {
	case !waiting || !deadline.IsZero() && !deadline.After(time.Now()):
	case deadline.IsZero():
	case state == http.StateNew || c.headerPending.Swap(true):
		deadline = time.Now().Add(header)
	default:
		deadline = time.Now().Add(idle)
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// clientLimits are how long clients may take for a header, and stay idle.
func (p *proxy) clientTimeouts() (header, idle time.Duration) {
	limits := p.snapshot.Load().manifest.Limits
	if header = limits.HeaderTimeout.Std(); header == 0 {
		header = defaultHeaderTimeout
	}
	if idle = limits.IdleTimeout.Std(); idle == 0 {
		idle = defaultIdleTimeout
	}
	return header, idle
}
