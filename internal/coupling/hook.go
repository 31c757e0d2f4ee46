package coupling

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"ploverhitch/internal/rpc"
)

// Reply is a server's reply. Its body is whole, unless Rest is set: then Body
// is what was read so far and Rest the remainder.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the length that the server announced, or -1.
	Length int64
	Rest   io.Reader
	finish func(isWhole bool)
}

// Finish ends the use of a reply that has a Rest.
//
// Example:
//
//	reply.Finish(err == nil)
func (r *Reply) Finish(isWhole bool) {
	if r.finish != nil {
		r.finish(isWhole)
		r.finish = nil
	}
}

// Errors that tell how a delivery failed.
const (
	// ErrNotSent: nothing of the inquiry was sent.
	ErrNotSent = errors.ConstError("not sent")
	// ErrUnknown: it was sent, and no reply shows whether it ran.
	ErrUnknown = errors.ConstError("sent, and the outcome is not known")
)

// hook is one connection to a server.
type hook struct {
	conn   net.Conn
	reader *bufio.Reader
	// until is when the server may close it for idleness.
	until  time.Time
	isDone bool
}

const (
	surplusLimit = 8
	idleDefault  = 4 * time.Second
	idleMargin   = 700 * time.Millisecond
	serverSilent = 2 * time.Second
)

func dialHook(address string, wait time.Duration, window int) (*hook, error) {
	conn, err := rpc.DialWindow(address, wait, serverSilent, window)
	if err != nil {
		return nil, err
	}
	return &hook{conn: conn, reader: bufio.NewReaderSize(conn, 4096)}, nil
}

// window is how much the server may have on its way at once.
func (h *hook) window() (bytes int) {
	if tcp, ok := h.conn.(syscall.Conn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { bytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
		}
	}
	return bytes
}

// isQuiet tells whether an idle connection is open and holds no stray bytes.
func (h *hook) isQuiet(now time.Time) bool {
	if h.reader.Buffered() > 0 || now.After(h.until) {
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

func (h *hook) send(order Order, left time.Duration, instance string) error {
	inquiry := order.Inquiry
	text := inquiry.appendHead(make([]byte, 0, 512+len(inquiry.Body)), left, instance)
	text = append(text, inquiry.Body...)
	order.Out.Note(len(text))
	_, err := h.conn.Write(text)
	return err
}

// receive reads the reply that carries the inquiry's id. A reply with another
// id belongs to an earlier inquiry: it is passed over, never handed on.
func (h *hook) receive(order Order) (*Reply, error) {
	inquiry := order.Inquiry
	method := &http.Request{Method: inquiry.Method}
	for range surplusLimit {
		response, err := http.ReadResponse(h.reader, method)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if response.StatusCode < 200 {
			continue
		}
		isOurs := response.Header.Get(HeaderAttempt) == inquiry.Attempt
		isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if !isOurs || !isFramed {
			h.isDone = true
			// A server that turns an inquiry away may do so before it has
			// read the id.
			isTurnedAway := response.Header.Get(HeaderNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
			isOurs = isOurs || isTurnedAway && response.Header.Get(HeaderAttempt) == ""
			if !isFramed {
				return nil, errors.NotValidf("reply without an end")
			}
		}
		if !isOurs {
			if _, err = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<20)); err != nil {
				return nil, errors.Trace(err)
			}
			continue
		}
		return h.take(response, order)
	}
	return nil, errors.NotValidf("so many replies to other inquiries")
}

func (h *hook) take(response *http.Response, order Order) (*Reply, error) {
	reply := &Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	h.isDone = h.isDone || response.Close
	h.until = time.Now().Add(idleSpan(response.Header.Get("Keep-Alive")))
	isSuccess := reply.Status/100 == 2
	if isSuccess && reply.Header.Get(HeaderSeal) == "" {
		return nil, errors.NotValidf("success without a seal")
	}
	if response.Body == http.NoBody {
		return reply, nil
	}
	from := order.In.Reader(response.Body, reply.Length, h.window())
	isPassedOn := isSuccess && order.PassOn > 0 && reply.Length >= order.PassOn
	if reply.Length > order.Buffer || isPassedOn {
		reply.Rest = from
		return reply, nil
	}
	body, err := readAll(from, reply.Length, order.Buffer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply.Body = body; int64(len(body)) > order.Buffer {
		reply.Rest = from
	} else {
		reply.Length = int64(len(body))
	}
	return reply, nil
}

func readAll(from io.Reader, length, buffer int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(from, body); err != nil {
			return nil, err
		}
		return body, nil
	}
	return io.ReadAll(io.LimitReader(from, buffer+1))
}

func idleSpan(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return idleDefault
}

// IsNotExecuted tells whether the server showed that it did not run the
// inquiry.
//
// Example:
//
//	if reply.IsNotExecuted() { tryAnother() }
func (r *Reply) IsNotExecuted() bool {
	return r.Header.Get(HeaderNotExecuted) != "" || r.Status == http.StatusMisdirectedRequest
}

// mayReuse tells whether the next inquiry may travel on the connection.
func (h *hook) mayReuse() bool { return !h.isDone && h.reader.Buffered() == 0 }
