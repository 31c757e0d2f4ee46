package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"ploverhitch/internal/rpc"
)

// Response is a server's response. Body is complete unless Remainder is set: then Body
// holds what was read so far and Remainder supplies the rest.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the announced or the known length of the body, or -1.
	Length    int64
	Remainder io.Reader
	finish    func(complete bool)
}

// Finish releases the connection of a response that has a Remainder. The connection is
// reused only if the body was read completely.
func (r *Response) Finish(complete bool) {
	if r.finish != nil {
		r.finish(complete)
		r.finish = nil
	}
}

// Errors that classify a failed delivery.
const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrNotServing means that the server stopped serving after it was chosen and before
	// the first byte was sent.
	ErrNotServing = errors.ConstError("server is no longer serving")
	// ErrOutcomeUnknown means that the request was sent, at least in part, and no response
	// shows whether it was executed.
	ErrOutcomeUnknown = errors.ConstError("request sent, but its outcome is unknown")
)

// connection is one connection to a server.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	// limiter limits the size of response headers.
	limiter *headerLimiter
	// idleUntil is the time from which on the server may close the idle connection.
	idleUntil time.Time
	noReuse   bool
	// used is set after the first request. sentHead is set after a HEAD request, whose
	// response has no body whatever its header says.
	used, sentHead bool
}

const (
	// defaultIdleTimeout applies where the server announces no timeout by Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from an announced timeout.
	idleTimeoutMargin = 700 * time.Millisecond
	// peerTimeout is how long a connection may go without acknowledgments from the server.
	peerTimeout = 2 * time.Second
)

func dial(address string, timeout time.Duration, receiveWindow int) (*connection, error) {
	conn, err := rpc.DialWindow(address, timeout, peerTimeout, receiveWindow)
	if err != nil {
		return nil, err
	}
	limiter := &headerLimiter{source: conn}
	return &connection{conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, 4096)}, nil
}

// receiveBuffer returns the size of the socket's receive buffer, which limits the bytes
// in flight from the server.
func (c *connection) receiveBuffer() (bytes int) {
	if tcp, ok := c.conn.(syscall.Conn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { bytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
		}
	}
	return bytes
}

// usable reports whether an idle connection is still open and has no unread bytes.
func (c *connection) usable(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.After(c.idleUntil) {
		return false
	}
	tcp, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buffer[:])
		usable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}

// send writes the request and returns the number of bytes written.
func (c *connection) send(delivery Delivery, remaining time.Duration, instance string) (count int, err error) {
	request := delivery.Request
	joined := 0
	if len(request.Body) <= maxJoinedBody {
		joined = len(request.Body)
	}
	text := request.appendHeader(make([]byte, 0, typicalHeaderBytes+joined), remaining, instance)
	text = append(text, request.Body[:joined]...)
	delivery.Outbound.CountShort(len(text) + len(request.Body) - joined)
	count, err = c.conn.Write(text)
	if err == nil && joined < len(request.Body) {
		var bodyCount int
		bodyCount, err = c.conn.Write(request.Body)
		count += bodyCount
	}
	return count, err
}

const (
	typicalHeaderBytes = 512
	// maxJoinedBody is the length up to which a body is written together with the header. A longer
	// one is not copied.
	maxJoinedBody = 64 << 10
)

// reusable reports whether the connection may carry another request.
func (c *connection) reusable() bool { return !c.noReuse && c.reader.Buffered() == 0 }
