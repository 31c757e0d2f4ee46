// Package rpc carries cbor frames between ploverhitch's own processes: a
// call and its replies share a number, several calls share one connection, and
// a table says which handler answers which kind.
package rpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"ploverhitch/internal/bounded"
)

// Kind names what a frame asks for.
type Kind uint8

type frame struct {
	Number uint64          `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

const maxFrameBytes = 64 << 20

func readFrame(r *bufio.Reader) (f frame, err error) {
	var header [4]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return f, errors.NotValidf("frame of %d bytes", size)
	}
	data, err := bounded.Read(r, int(size))
	if err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(data, &f)
}

// Packed is a body that is written already; frames to many share it.
type Packed interface{ Packed() []byte }

// packet is a frame on its way: its head, which is its own, and its body, which
// other frames may share.
type outgoingFrame struct {
	header, body []byte
	// isRevoked: its caller has given up, and it must not be sent any more.
	revoked atomic.Bool
}

func (f *outgoingFrame) size() int { return len(f.header) + len(f.body) }

func encodeFrame(number uint64, kind Kind, body any) (*outgoingFrame, error) {
	f := frame{Number: number, Kind: kind}
	var shared []byte
	if packed, ok := body.(Packed); ok {
		shared = packed.Packed()
	}
	if body != nil && shared == nil {
		data, err := cbor.Marshal(body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		shared = data
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(shared) > 0 {
		// The map has one entry more, the body, which comes last.
		data[0]++
		data = append(data, bodyKey)
	}
	out := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)+len(shared)))
	return &outgoingFrame{header: append(out, data...), body: shared}, nil
}

// bodyKey is the frame's key for its body, as cbor writes it.
const bodyKey = 3

// Unpack reads a frame's body into out.
//
// Example:
//
//	var call idempotency.Reserve
//	err := rpc.Unpack(body, &call)
func Decode(body []byte, out any) error { return errors.Trace(cbor.Unmarshal(body, out)) }

// Dial connects with bounds on silence: a dead machine says nothing, so the
// connection itself must notice within the given span.
//
// Example:
//
//	conn, err := rpc.Dial("10.1.0.42:7200", time.Second, 2*time.Second)
func Dial(address string, connectTimeout, silenceTimeout time.Duration) (net.Conn, error) {
	return DialWindow(address, connectTimeout, silenceTimeout, 0)
}

// DialWindow connects as Dial does, with a bound on what the other side may have
// on its way at once, if it is not 0.
//
// Example:
//
//	conn, err := rpc.DialWindow("10.1.0.42:7200", time.Second, 2*time.Second, 4096)
func DialWindow(address string, connectTimeout, silenceTimeout time.Duration, window int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			setSilenceTimeout(int(fd), silenceTimeout)
			if window > 0 {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window)
			}
		})
	}}
	return dialer.Dial("tcp4", address)
}

func setSilenceTimeout(fd int, timeout time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, max(1, int(timeout/time.Second)))
}

// queuedBytes bounds what waits for a peer that reads slowly or not at all. A single
// frame may be larger.
const maxQueuedBytes = 4 << 20

// outbox writes frames from an inbox that is bounded in frames and bytes, many in one
// write.
type outbox struct {
	frames chan *outgoingFrame
	done   chan struct{}
	// queued is how many bytes wait.
	queuedBytes atomic.Int64
}

func newOutbox(conn net.Conn, size int) *outbox {
	outbox := &outbox{frames: make(chan *outgoingFrame, size), done: make(chan struct{})}
	go outbox.run(conn)
	return outbox
}

func (b *outbox) run(conn net.Conn) {
	writer := bufio.NewWriterSize(conn, 16<<10)
	for {
		select {
		case <-b.done:
			return
		case next := <-b.frames:
			err := b.write(next, writer)
			for more := true; more && err == nil; {
				select {
				case next = <-b.frames:
					err = b.write(next, writer)
				default:
					more = false
				}
			}
			if err == nil {
				err = writer.Flush()
			}
			if err != nil {
				_ = conn.Close()
				return
			}
		}
	}
}

func (b *outbox) write(next *outgoingFrame, to io.Writer) error {
	b.queuedBytes.Add(-int64(next.size()))
	return next.write(to)
}

func (f *outgoingFrame) write(to io.Writer) error {
	if f.revoked.Load() {
		return nil
	}
	_, err := to.Write(f.header)
	if err == nil && len(f.body) > 0 {
		_, err = to.Write(f.body)
	}
	return err
}

// offer puts the frame, or closes the connection of a peer that does not read.
func (b *outbox) enqueue(conn net.Conn, next *outgoingFrame) bool {
	size := int64(next.size())
	if queued := b.queuedBytes.Add(size); queued > size && queued > maxQueuedBytes {
		_ = conn.Close()
		return false
	}
	select {
	case <-b.done:
		return false
	default:
	}
	select {
	case b.frames <- next:
		return true
	default:
		_ = conn.Close()
		return false
	}
}
