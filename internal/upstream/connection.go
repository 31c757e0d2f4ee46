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

// Reply is a server's reply. Its body is whole, unless Rest is set: then Body
// is what was read so far and Rest the remainder.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the length that the server announced, or -1.
	Length    int64
	Remainder io.Reader
	finish    func(complete bool)
}

// Finish ends the use of a reply that has a Rest.
//
// Example:
//
//	reply.Finish(err == nil)
func (r *Response) Finish(complete bool) {
	if r.finish != nil {
		r.finish(complete)
		r.finish = nil
	}
}

// Errors that tell how a delivery failed.
const (
	// ErrNotSent: nothing of the inquiry was sent.
	ErrNotSent = errors.ConstError("not sent")
	// ErrServerLeft: the server left between the choice and the first byte.
	ErrNotServing = errors.ConstError("the server has left")
	// ErrUnknown: it was sent, and no reply shows whether it ran.
	ErrOutcomeUnknown = errors.ConstError("sent, and the outcome is not known")
)

// hook is one connection to a server.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	// head bounds how long a reply's header may be.
	limiter *headerLimiter
	// until is when the server may close it for idleness.
	idleUntil time.Time
	noReuse   bool
	// isUsed: an earlier inquiry was sent over it; hasHead: one of them was a HEAD,
	// whose reply has no body whatever its header says.
	used, sentHead bool
}

const (
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	peerTimeout     = 2 * time.Second
)

func dial(address string, timeout time.Duration, receiveWindow int) (*connection, error) {
	conn, err := rpc.DialWindow(address, timeout, peerTimeout, receiveWindow)
	if err != nil {
		return nil, err
	}
	limiter := &headerLimiter{source: conn}
	return &connection{conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, 4096)}, nil
}

// window is how much the server may have on its way at once.
func (c *connection) receiveBuffer() (bytes int) {
	if tcp, ok := c.conn.(syscall.Conn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { bytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
		}
	}
	return bytes
}

// isQuiet tells whether an idle connection is open and holds no stray bytes.
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

// send writes the inquiry and tells how much of it went out.
func (c *connection) send(delivery Delivery, remaining time.Duration, instance string) (count int, err error) {
	request := delivery.Request
	text := request.appendHeader(make([]byte, 0, 512+len(request.Body)), remaining, instance)
	text = append(text, request.Body...)
	delivery.Outbound.Note(len(text))
	return c.conn.Write(text)
}

// mayReuse tells whether the next inquiry may travel on the connection.
func (c *connection) reusable() bool { return !c.noReuse && c.reader.Buffered() == 0 }
