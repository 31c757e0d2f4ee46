package control

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"ploverhitch/internal/apierror"
)

// errAbandoned ends an order whose caller no longer waits for the response.
var errAbandoned = apierror.New(apierror.ControlPlaneUnavailable, "the caller no longer waits for the response")

// orderCaller is whoever gave an order and waits for the response. A node passes an order on
// only while its caller waits: a caller that has left may have been told by another node
// that the order is rejected.
type orderCaller interface {
	// HasLeft reports whether the caller no longer waits.
	HasLeft() bool
}

// internalCaller is a part of this node; it waits for every response.
type internalCaller struct{}

// HasLeft returns false.
func (internalCaller) HasLeft() bool { return false }

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// withConnection stores the connection in the context of the calls that it carries.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// httpCaller is the client of an HTTP call.
type httpCaller struct{ ctx context.Context }

// HasLeft reports whether the client has closed its connection. It asks the socket itself:
// a process that stood still finds calls in its sockets whose clients have left, and the
// server has not noticed yet.
func (c httpCaller) HasLeft() bool {
	if c.ctx.Err() != nil {
		return true
	}
	conn, ok := c.ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peerHasClosed(int(fd)) })
	return err != nil || closed
}

// peerHasClosed reports whether nothing more can be read from a socket. Unread bytes, such
// as those of a further call, stay where they are.
func peerHasClosed(fd int) bool {
	var buffer [1]byte
	count, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && count == 0 || err == unix.ECONNRESET
}
