// Package rpc exchanges CBOR frames between the processes of ploverhitch. A call and
// its replies share a number, calls are multiplexed on one connection, and the server
// selects the handler of a call by its kind.
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
	"ploverhitch/internal/codec"
)

// Kind identifies the type of a call.
type Kind uint8

type frame struct {
	Number uint64          `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	// Rejection is set in place of a reply that will not come. Older builds ignore it and find
	// no body.
	Rejection Rejection `cbor:"4,keyasint,omitempty"`
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
	return f, codec.Unmarshal(data, &f)
}

// Packed is a body that is already encoded, so that frames to many peers share it.
type Packed interface{ Packed() []byte }

// outgoingFrame is an encoded frame: its own header, and a body that other frames may
// share.
type outgoingFrame struct {
	header, body []byte
	// revoked is set when the caller gives up; the frame must not be sent after that.
	revoked atomic.Bool
}

func (f *outgoingFrame) size() int { return len(f.header) + len(f.body) }

// encodeRejection returns the frame that rejects a call.
func encodeRejection(number uint64, kind Kind, rejection Rejection) (*outgoingFrame, error) {
	data, err := codec.Marshal(frame{Number: number, Kind: kind, Rejection: rejection})
	if err != nil {
		return nil, err
	}
	return newOutgoingFrame(data, nil), nil
}

// newOutgoingFrame returns a frame with its length in front.
func newOutgoingFrame(header, body []byte) *outgoingFrame {
	out := make([]byte, 4, 4+len(header))
	binary.BigEndian.PutUint32(out, uint32(len(header)+len(body)))
	return &outgoingFrame{header: append(out, header...), body: body}
}

func encodeFrame(number uint64, kind Kind, body any) (*outgoingFrame, error) {
	f := frame{Number: number, Kind: kind}
	var shared []byte
	if packed, ok := body.(Packed); ok {
		shared = packed.Packed()
	}
	if body != nil && shared == nil {
		data, err := codec.Marshal(body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		shared = data
	}
	data, err := codec.Marshal(f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(shared) > 0 {
		// Adds one entry to the CBOR map: the body, which comes last.
		data[0]++
		data = append(data, bodyKey)
	}
	return newOutgoingFrame(data, shared), nil
}

// bodyKey is the CBOR encoding of the frame's map key for its body.
const bodyKey = 3

// Decode decodes the body of a frame into out.
func Decode(body []byte, out any) error { return codec.Unmarshal(body, out) }

// Dial connects to address. The connection fails if the peer is silent for the silence
// timeout: a failed machine sends no reset, so keepalives and TCP_USER_TIMEOUT have to
// detect it.
func Dial(address string, connectTimeout, silenceTimeout time.Duration) (net.Conn, error) {
	return DialWindow(address, connectTimeout, silenceTimeout, 0)
}

// DialWindow connects as Dial does. A window above 0 sets the size of the receive
// buffer, which bounds the bytes that the peer may have in flight.
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

// maxQueuedBytes limits the bytes queued for a peer that reads slowly or not at all. A
// single frame may be larger.
const maxQueuedBytes = 4 << 20

// outbox writes frames from a queue that is bounded in frames and bytes, and combines
// several frames in one write.
type outbox struct {
	frames chan *outgoingFrame
	done   chan struct{}
	// queuedBytes is the number of bytes in the queue.
	queuedBytes atomic.Int64
}

func newOutbox(conn net.Conn, size int) *outbox {
	b := &outbox{frames: make(chan *outgoingFrame, size), done: make(chan struct{})}
	go b.run(conn)
	return b
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

// enqueue queues the frame. If the queue is full, the peer does not read, and enqueue
// closes the connection.
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
