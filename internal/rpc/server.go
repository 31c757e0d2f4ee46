package rpc

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Call is one call that came in. Reply may be called from any goroutine, and
// more than once where the caller follows a feed; it tells whether the
// connection still takes replies.
type Call struct {
	Body  []byte
	Reply func(body any) bool
	// Ended is closed when the caller's connection ends.
	Closed <-chan struct{}
}

// Handlers is the table from a frame's kind to what is done with it. A handler
// must not wait: it hands the call to the owner of a table.
type Handlers map[Kind]func(Call)

// Serve accepts connections and answers their calls by the table until the
// listener is closed; the connections end with it.
//
// Example:
//
//	go rpc.Serve(listener, rpc.Handlers{KindPing: answerPing}, 2*time.Second)
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
	box, closed := newOutbox(conn, 1024), make(chan struct{})
	var once sync.Once
	closeConn := func() { once.Do(func() { _ = conn.Close(); close(box.done); close(closed) }) }
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
		handle(Call{Body: f.Body, Closed: closed, Reply: func(body any) bool {
			response, err := encodeFrame(number, kind, body)
			return err == nil && box.enqueue(conn, response)
		}})
	}
}
