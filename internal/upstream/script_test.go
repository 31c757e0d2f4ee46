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

// scripted is a server that does on each of its connections what the test says.
type scripted struct {
	*upstream.Pool
	arrivals atomic.Int32
	conns    atomic.Int32
}

// exchange is one inquiry that arrived, and its connection.
type exchange struct {
	net.Conn
	id     string
	number int
}

func (e exchange) answer(status, id, body string) {
	_, _ = fmt.Fprintf(e, "HTTP/1.1 %s\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// script starts a server; do answers an inquiry and tells whether to read on.
func script(t *testing.T, do func(exchange) bool) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{Pool: &upstream.Pool{Address: listener.Addr().String(), Instance: "i-1"}}
	t.Cleanup(func() { _ = listener.Close(); s.Pool.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, do)
		}
	}()
	return s
}

func (s *scripted) serve(conn net.Conn, do func(exchange) bool) {
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
		if !do(exchange{conn, request.Header.Get(upstream.HeaderAttempt), int(s.arrivals.Add(1))}) {
			return
		}
	}
}

// send makes one delivery with the id, by the method, within a second.
func (s *scripted) send(id, method string, change func(*upstream.Delivery)) (*upstream.Response, error) {
	due := time.Now().Add(time.Second)
	order := upstream.Delivery{
		Request:  &upstream.Request{Method: method, Target: "/a", Host: "h", Header: http.Header{upstream.HeaderAttempt: {id}}, Attempt: id},
		Deadline: due, ResponseDeadline: due, ConnectTimeout: time.Second, BufferLimit: 1 << 20,
	}
	if change != nil {
		change(&order)
	}
	return s.Deliver(order)
}

func (s *scripted) want(t *testing.T, id, body string) {
	t.Helper()
	reply, err := s.send(id, "GET", nil)
	if err != nil || string(reply.Body) != body {
		t.Fatalf("%s got %+v, %v", id, reply, err)
	}
}

func (s *scripted) wantUnknown(t *testing.T, id, method string) {
	t.Helper()
	if reply, err := s.send(id, method, nil); !errors.Is(err, upstream.ErrOutcomeUnknown) {
		t.Fatalf("%s got %+v, %v", id, reply, err)
	}
}

func TestServerThatClosesAnIdleConnectionAsWeWrite(t *testing.T) {
	s := script(t, func(e exchange) bool {
		if e.number == 2 {
			return false
		}
		e.answer("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.want(t, "one", "body of one")
	s.wantUnknown(t, "two", "POST")
	if count := s.arrivals.Load(); count != 2 {
		t.Fatalf("%d arrivals: it was sent again", count)
	}
	s.want(t, "three", "body of three")
}

func TestOfWhatNothingWasWrittenNothingRan(t *testing.T) {
	s := script(t, func(e exchange) bool { e.answer("200 OK", e.id, "x"); return true })
	// The time to write is over after the last look and before the first byte.
	reply, err := s.send("one", "POST", func(order *upstream.Delivery) { order.ResponseDeadline = time.Now().Add(-time.Second) })
	if !errors.Is(err, upstream.ErrNotSent) || s.arrivals.Load() != 0 {
		t.Fatalf("got %+v, %v after %d arrivals", reply, err, s.arrivals.Load())
	}
}

func TestSurplusAndInterimRepliesArePassedOver(t *testing.T) {
	s := script(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nPloverhitch-Attempt-Id: x\r\n\r\n")
		e.answer("200 OK", "an-earlier-one", "stray")
		e.answer("503 Service Unavailable", "an-earlier-one", "")
		e.answer("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.want(t, "one", "body of one")
	s.want(t, "two", "body of two")
	if count := s.conns.Load(); count != 2 {
		t.Fatalf("%d connections: one that brought a surplus reply was used again", count)
	}
}

func TestRefusalWithoutAnIdIsOnlyTheFirstInquirys(t *testing.T) {
	refuse := func(e exchange) {
		_, _ = io.WriteString(e, "HTTP/1.1 503 Service Unavailable\r\nPloverhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s := script(t, func(e exchange) bool {
		if e.number == 2 {
			// A late refusal of an earlier inquiry; this one runs.
			refuse(e)
		}
		e.answer("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.want(t, "one", "body of one")
	s.wantUnknown(t, "two", "POST")
	fresh := script(t, func(e exchange) bool { refuse(e); return false })
	if reply, err := fresh.send("one", "POST", nil); err != nil || !reply.NotExecuted() {
		t.Fatalf("got %+v, %v", reply, err)
	}
}

func TestReplyWithTwoIdsIsNobodys(t *testing.T) {
	s := script(t, func(e exchange) bool {
		_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Attempt-Id: x\r\nPloverhitch-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", e.id)
		return false
	})
	s.wantUnknown(t, "one", "GET")
}

func TestReplyThatItsConnectionEnds(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\n\r\nbody of %s"
	whole := script(t, func(e exchange) bool { _, _ = fmt.Fprintf(e, head, e.id, e.id); return false })
	whole.want(t, "one", "body of one")
	reset := script(t, func(e exchange) bool {
		_, _ = fmt.Fprintf(e, head, e.id, e.id)
		_ = e.Conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	reset.wantUnknown(t, "one", "GET")
	foreign := script(t, func(e exchange) bool { _, _ = fmt.Fprintf(e, head, "an-earlier-one", ""); return false })
	foreign.wantUnknown(t, "one", "GET")
}

func TestChangeOfProtocolIsNoReply(t *testing.T) {
	s := script(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
		e.answer("200 OK", e.id, "tunnelled")
		return true
	})
	s.wantUnknown(t, "one", "GET")
}

func TestHeaderWithoutAnEndIsCutOff(t *testing.T) {
	line := "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"
	written := make(chan int, 1)
	s := script(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 200 OK\r\n")
		count := 0
		for count < 64<<20 {
			more, err := io.WriteString(e, line)
			if count += more; err != nil {
				break
			}
		}
		written <- count
		return false
	})
	s.wantUnknown(t, "one", "GET")
	if count := <-written; count > 32<<20 {
		t.Fatalf("%d bytes of header were taken", count)
	}
}

func TestClientThatLeavesBreaksTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	s := script(t, func(e exchange) bool {
		if e.number > 1 {
			e.answer("200 OK", e.id, "body of "+e.id)
			return true
		}
		_, err := e.Read(make([]byte, 1))
		ended <- err
		return false
	})
	left, leave := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, leave)
	began := time.Now()
	if reply, err := s.send("one", "GET", func(order *upstream.Delivery) { order.ClientContext = left }); !errors.Is(err, upstream.ErrOutcomeUnknown) {
		t.Fatalf("got %+v, %v", reply, err)
	}
	if err := <-ended; err != io.EOF || time.Since(began) > 700*time.Millisecond {
		t.Fatalf("the server saw %v after %v", err, time.Since(began))
	}
	s.want(t, "two", "body of two")
}
