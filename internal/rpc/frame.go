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

const frameLimit = 64 << 20

func readFrame(r *bufio.Reader) (f frame, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > frameLimit {
		return f, errors.NotValidf("frame of %d bytes", size)
	}
	text, err := bounded.Read(r, int(size))
	if err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(text, &f)
}

// Packed is a body that is written already; frames to many share it.
type Packed interface{ Packed() []byte }

// packet is a frame on its way: its head, which is its own, and its body, which
// other frames may share.
type packet struct {
	head, body []byte
	// isRevoked: its caller has given up, and it must not be sent any more.
	isRevoked atomic.Bool
}

func (p *packet) size() int { return len(p.head) + len(p.body) }

func packFrame(number uint64, kind Kind, body any) (*packet, error) {
	f := frame{Number: number, Kind: kind}
	var shared []byte
	if packed, isPacked := body.(Packed); isPacked {
		shared = packed.Packed()
	}
	if body != nil && shared == nil {
		text, err := cbor.Marshal(body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		shared = text
	}
	text, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(shared) > 0 {
		// The map has one entry more, the body, which comes last.
		text[0]++
		text = append(text, bodyKey)
	}
	out := make([]byte, 4, 4+len(text))
	binary.BigEndian.PutUint32(out, uint32(len(text)+len(shared)))
	return &packet{head: append(out, text...), body: shared}, nil
}

// bodyKey is the frame's key for its body, as cbor writes it.
const bodyKey = 3

// Unpack reads a frame's body into out.
//
// Example:
//
//	var call idempotency.Reserve
//	err := rpc.Unpack(body, &call)
func Unpack(body []byte, out any) error { return errors.Trace(cbor.Unmarshal(body, out)) }

// Dial connects with bounds on silence: a dead machine says nothing, so the
// connection itself must notice within the given span.
//
// Example:
//
//	conn, err := rpc.Dial("10.1.0.42:7200", time.Second, 2*time.Second)
func Dial(address string, connect, silence time.Duration) (net.Conn, error) {
	return DialWindow(address, connect, silence, 0)
}

// DialWindow connects as Dial does, with a bound on what the other side may have
// on its way at once, if it is not 0.
//
// Example:
//
//	conn, err := rpc.DialWindow("10.1.0.42:7200", time.Second, 2*time.Second, 4096)
func DialWindow(address string, connect, silence time.Duration, window int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connect, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			boundSilence(int(fd), silence)
			if window > 0 {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window)
			}
		})
	}}
	return dialer.Dial("tcp4", address)
}

func boundSilence(fd int, silence time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, max(1, int(silence/time.Second)))
}

// queuedBytes bounds what waits for a peer that reads slowly or not at all. A single
// frame may be larger.
const queuedBytes = 4 << 20

// outbox writes frames from an inbox that is bounded in frames and bytes, many in one
// write.
type outbox struct {
	frames chan *packet
	done   chan struct{}
	// queued is how many bytes wait.
	queued atomic.Int64
}

func newOutbox(conn net.Conn, size int) *outbox {
	box := &outbox{frames: make(chan *packet, size), done: make(chan struct{})}
	go box.run(conn)
	return box
}

func (b *outbox) run(conn net.Conn) {
	writer := bufio.NewWriterSize(conn, 16<<10)
	for {
		select {
		case <-b.done:
			return
		case one := <-b.frames:
			err := b.write(one, writer)
			for more := true; more && err == nil; {
				select {
				case one = <-b.frames:
					err = b.write(one, writer)
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

func (b *outbox) write(one *packet, to io.Writer) error {
	b.queued.Add(-int64(one.size()))
	return one.write(to)
}

func (p *packet) write(to io.Writer) error {
	if p.isRevoked.Load() {
		return nil
	}
	_, err := to.Write(p.head)
	if err == nil && len(p.body) > 0 {
		_, err = to.Write(p.body)
	}
	return err
}

// offer puts the frame, or closes the connection of a peer that does not read.
func (b *outbox) offer(conn net.Conn, one *packet) bool {
	size := int64(one.size())
	if queued := b.queued.Add(size); queued > size && queued > queuedBytes {
		_ = conn.Close()
		return false
	}
	select {
	case <-b.done:
		return false
	default:
	}
	select {
	case b.frames <- one:
		return true
	default:
		_ = conn.Close()
		return false
	}
}
