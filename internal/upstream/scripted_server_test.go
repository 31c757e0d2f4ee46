package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/upstream"
)

// scriptedServer is a server whose behavior the test defines, with a pool for it.
type scriptedServer struct {
	*upstream.Pool
	requests    atomic.Int32
	connections atomic.Int32
}

// exchange is one received request and its connection.
type exchange struct {
	net.Conn
	id     string
	number int
}

func (e exchange) respond(status, id, body string) {
	_, _ = fmt.Fprintf(e, "HTTP/1.1 %s\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// newScriptedServer starts a server. handle responds to a request and returns whether
// to read the next one.
func newScriptedServer(t *testing.T, handle func(exchange) bool) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{Pool: &upstream.Pool{Address: listener.Addr().String(), Instance: "i-1"}}
	t.Cleanup(func() { _ = listener.Close(); s.Pool.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, handle)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, handle func(exchange) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !handle(exchange{conn, request.Header.Get(upstream.HeaderAttempt), int(s.requests.Add(1))}) {
			return
		}
	}
}

// send delivers one request with the attempt ID and a deadline of one second.
func (s *scriptedServer) send(id, method string, change func(*upstream.Delivery)) (*upstream.Response, error) {
	deadline := time.Now().Add(time.Second)
	delivery := upstream.Delivery{
		Request:  &upstream.Request{Method: method, Target: "/a", Host: "h", Header: http.Header{upstream.HeaderAttempt: {id}}, Attempt: id},
		Deadline: deadline, ResponseDeadline: deadline, ConnectTimeout: time.Second, BufferLimit: 1 << 20,
	}
	if change != nil {
		change(&delivery)
	}
	return s.Deliver(delivery)
}

func (s *scriptedServer) expectBody(t *testing.T, id, body string) {
	t.Helper()
	response, err := s.send(id, "GET", nil)
	if err != nil || string(response.Body) != body {
		t.Fatalf("%s got %+v, %v", id, response, err)
	}
}

func (s *scriptedServer) expectOutcomeUnknown(t *testing.T, id, method string) {
	t.Helper()
	if response, err := s.send(id, method, nil); !errors.Is(err, upstream.ErrOutcomeUnknown) {
		t.Fatalf("%s got %+v, %v", id, response, err)
	}
}

func TestServerClosesIdleConnectionDuringWrite(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		if e.number == 2 {
			return false
		}
		e.respond("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.expectBody(t, "one", "body of one")
	s.expectOutcomeUnknown(t, "two", "POST")
	if count := s.requests.Load(); count != 2 {
		t.Fatalf("server received %d requests; want 2 without a retry", count)
	}
	s.expectBody(t, "three", "body of three")
}

func TestNothingWrittenReportsNotSent(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool { e.respond("200 OK", e.id, "x"); return true })
	// The write deadline has passed when the first byte is to be sent.
	response, err := s.send("one", "POST", func(delivery *upstream.Delivery) { delivery.ResponseDeadline = time.Now().Add(-time.Second) })
	if !errors.Is(err, upstream.ErrNotSent) || s.requests.Load() != 0 {
		t.Fatalf("got %+v, %v after %d received requests", response, err, s.requests.Load())
	}
}

func TestUnmatchedAndInterimResponsesAreSkipped(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nPloverhitch-Attempt-Id: x\r\n\r\n")
		e.respond("200 OK", "an-earlier-one", "stray")
		e.respond("503 Service Unavailable", "an-earlier-one", "")
		e.respond("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.expectBody(t, "one", "body of one")
	s.expectBody(t, "two", "body of two")
	if count := s.connections.Load(); count != 2 {
		t.Fatalf("%d connections; want 2, as a skipped response prevents reuse", count)
	}
}

func TestRejectionWithoutIDOnlyAnswersFirstRequest(t *testing.T) {
	reject := func(e exchange) {
		_, _ = io.WriteString(e, "HTTP/1.1 503 Service Unavailable\r\nPloverhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s := newScriptedServer(t, func(e exchange) bool {
		if e.number == 2 {
			// A late rejection of an earlier request; this request is executed.
			reject(e)
		}
		e.respond("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.expectBody(t, "one", "body of one")
	s.expectOutcomeUnknown(t, "two", "POST")
	fresh := newScriptedServer(t, func(e exchange) bool { reject(e); return false })
	if response, err := fresh.send("one", "POST", nil); err != nil || !response.IsNotExecuted() {
		t.Fatalf("got %+v, %v", response, err)
	}
}

func TestResponseWithTwoIDsIsNotAccepted(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Attempt-Id: x\r\nPloverhitch-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", e.id)
		return false
	})
	s.expectOutcomeUnknown(t, "one", "GET")
}

func TestResponseEndedByConnectionClose(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\n\r\nbody of %s"
	whole := newScriptedServer(t, func(e exchange) bool { _, _ = fmt.Fprintf(e, header, e.id, e.id); return false })
	whole.expectBody(t, "one", "body of one")
	reset := newScriptedServer(t, func(e exchange) bool {
		_, _ = fmt.Fprintf(e, header, e.id, e.id)
		_ = e.Conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	reset.expectOutcomeUnknown(t, "one", "GET")
	otherAttempt := newScriptedServer(t, func(e exchange) bool { _, _ = fmt.Fprintf(e, header, "an-earlier-one", ""); return false })
	otherAttempt.expectOutcomeUnknown(t, "one", "GET")
}

func TestProtocolSwitchIsNotAccepted(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
		e.respond("200 OK", e.id, "tunnelled")
		return true
	})
	s.expectOutcomeUnknown(t, "one", "GET")
}

func TestEndlessHeaderIsLimited(t *testing.T) {
	line := "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"
	written := make(chan int, 1)
	s := newScriptedServer(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 200 OK\r\n")
		count := 0
		for count < 64<<20 {
			size, err := io.WriteString(e, line)
			if count += size; err != nil {
				break
			}
		}
		written <- count
		return false
	})
	s.expectOutcomeUnknown(t, "one", "GET")
	if count := <-written; count > 32<<20 {
		t.Fatalf("read %d bytes of header", count)
	}
}

func TestClientDisconnectClosesConnection(t *testing.T) {
	ended := make(chan error, 1)
	s := newScriptedServer(t, func(e exchange) bool {
		if e.number > 1 {
			e.respond("200 OK", e.id, "body of "+e.id)
			return true
		}
		_, err := e.Read(make([]byte, 1))
		ended <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	startedAt := time.Now()
	if response, err := s.send("one", "GET", func(delivery *upstream.Delivery) { delivery.ClientContext = ctx }); !errors.Is(err, upstream.ErrOutcomeUnknown) {
		t.Fatalf("got %+v, %v", response, err)
	}
	if err := <-ended; err != io.EOF || time.Since(startedAt) > 700*time.Millisecond {
		t.Fatalf("server read error %v after %v", err, time.Since(startedAt))
	}
	s.expectBody(t, "two", "body of two")
}
