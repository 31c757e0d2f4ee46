package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"ploverhitch/internal/clock"
)

// clientListener accepts client connections and applies the configured header and idle
// timeouts, which may change at run time: net/http reads its own only at start.
type clientListener struct {
	*net.TCPListener
	timeouts func() (header, idle time.Duration)
}

// Accept waits for the next client connection.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: conn, timeouts: l.timeouts}, nil
}

// clientConn is one client connection. The HTTP server sets a read deadline while it
// waits for a header or for the next request; the connection distinguishes the two and
// applies the configured timeout instead.
type clientConn struct {
	*net.TCPConn
	timeouts func() (header, idle time.Duration)
	state    atomic.Int32
	// headerPending is set once the idle deadline was set; the next deadline is for the
	// header of the next request.
	headerPending atomic.Bool
}

// recordConnState is the server's ConnState hook.
func recordConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok {
		c.state.Store(int32(state))
		c.headerPending.Store(false)
		if state == http.StateIdle {
			// The deadline of the last response does not hold for the next one.
			_ = conn.SetWriteDeadline(time.Time{})
		}
	}
}

// SetReadDeadline sets the read deadline, and replaces the server's header and idle
// deadlines by the configured ones.
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

// minClientTimeout is the shortest header or idle timeout that is applied. With one that
// is shorter than a header takes on its way, no client would get an answer.
const minClientTimeout = 500 * time.Millisecond

// clientTimeouts returns the header and idle timeouts for client connections.
func (p *proxy) clientTimeouts() (header, idle time.Duration) {
	limits := p.snapshot.Load().routingTable.Limits
	return clientTimeout(limits.HeaderTimeout, defaultHeaderTimeout), clientTimeout(limits.IdleTimeout, defaultIdleTimeout)
}

// clientTimeout returns the timeout to apply for a configured one.
func clientTimeout(configured clock.Duration, whenUnset time.Duration) time.Duration {
	if configured == 0 {
		return whenUnset
	}
	return max(configured.Std(), minClientTimeout)
}
