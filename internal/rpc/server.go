package rpc

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Call is an incoming call. Reply may be called from any goroutine, and more than once
// for a subscription; it reports whether the connection still accepts replies.
type Call struct {
	Kind  Kind
	Body  []byte
	Reply func(body any) bool
	// SendRejection, if set, tells the caller that there will be no reply. Handlers use Reject.
	SendRejection func(Rejection)
	// Closed is closed when the caller's connection ends.
	Closed <-chan struct{}
}

// Reject tells the caller at once that the call has no effect and gets no reply.
func (c Call) Reject(rejection Rejection) {
	if c.SendRejection != nil {
		c.SendRejection(rejection)
	}
}

// Handlers maps the kind of a call to its handler. A handler must not block: it passes
// the call to the event loop that owns the data.
type Handlers map[Kind]func(Call)

// Serve accepts connections and dispatches their calls to the handlers until the
// listener is closed, which also closes the connections.
func Serve(listener net.Listener, handlers Handlers, silenceTimeout time.Duration) {
	stopped := make(chan struct{})
	defer close(stopped)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if raw, err := tcp.SyscallConn(); err == nil {
				_ = raw.Control(func(fd uintptr) { setSilenceTimeout(int(fd), silenceTimeout) })
			}
		}
		go serveConn(conn, handlers, stopped)
	}
}

func serveConn(conn net.Conn, handlers Handlers, stopped <-chan struct{}) {
	outbox, closed := newOutbox(conn, 1024), make(chan struct{})
	var once sync.Once
	closeConn := func() { once.Do(func() { _ = conn.Close(); close(outbox.done); close(closed) }) }
	defer closeConn()
	go func() {
		select {
		case <-stopped:
			closeConn()
		case <-closed:
		}
	}()
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		handle, ok := handlers[f.Kind]
		if !ok {
			return
		}
		number, kind := f.Number, f.Kind
		reply := func(body any) bool {
			response, err := encodeFrame(number, kind, body)
			return err == nil && outbox.enqueue(conn, response)
		}
		reject := func(rejection Rejection) {
			if response, err := encodeRejection(number, kind, rejection); err == nil {
				outbox.enqueue(conn, response)
			}
		}
		handle(Call{Kind: kind, Body: f.Body, Closed: closed, Reply: reply, SendRejection: reject})
	}
}
