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
	finish    func(isWhole bool)
}

// Finish ends the use of a reply that has a Rest.
//
// Example:
//
//	reply.Finish(err == nil)
func (r *Response) Finish(isWhole bool) {
	if r.finish != nil {
		r.finish(isWhole)
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
	silenceTimeout     = 2 * time.Second
)

func dial(address string, wait time.Duration, window int) (*connection, error) {
	conn, err := rpc.DialWindow(address, wait, silenceTimeout, window)
	if err != nil {
		return nil, err
	}
	head := &headerLimiter{source: conn}
	return &connection{conn: conn, limiter: head, reader: bufio.NewReaderSize(head, 4096)}, nil
}

// window is how much the server may have on its way at once.
func (h *connection) receiveBuffer() (bytes int) {
	if tcp, ok := h.conn.(syscall.Conn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { bytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
		}
	}
	return bytes
}

// isQuiet tells whether an idle connection is open and holds no stray bytes.
func (h *connection) usable(now time.Time) bool {
	if h.reader.Buffered() > 0 || now.After(h.idleUntil) {
		return false
	}
	tcp, ok := h.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		isQuiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && isQuiet
}

// send writes the inquiry and tells how much of it went out.
func (h *connection) send(order Delivery, left time.Duration, instance string) (count int, err error) {
	inquiry := order.Request
	text := inquiry.appendHeader(make([]byte, 0, 512+len(inquiry.Body)), left, instance)
	text = append(text, inquiry.Body...)
	order.Outbound.Note(len(text))
	return h.conn.Write(text)
}

// mayReuse tells whether the next inquiry may travel on the connection.
func (h *connection) reusable() bool { return !h.noReuse && h.reader.Buffered() == 0 }
