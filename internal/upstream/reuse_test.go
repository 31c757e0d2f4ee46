package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverhitch/internal/upstream"
)

func TestResponsesToHeadLeaveNoBytesForNextRequest(t *testing.T) {
	const announced = 900
	header := "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\n%s\r\n"
	// A response to HEAD may or may not announce a length; it never has a body.
	for _, length := range []string{fmt.Sprintf("Content-Length: %d\r\n", announced), "Transfer-Encoding: chunked\r\n", ""} {
		s := newScriptedServer(t, func(e exchange) bool {
			switch e.number {
			case 1:
				_, _ = fmt.Fprintf(e, header, e.id, length)
			case 2:
				// The response to HEAD again: the announced bytes never follow, and at that
				// offset the body of the next response contains text like a response.
				_, _ = fmt.Fprintf(e, header, "head", length)
				hidden := fmt.Sprintf(header, e.id, "Content-Length: 6\r\n") + "hidden"
				e.respond("200 OK", e.id, strings.Repeat("x", announced-len(fmt.Sprintf(header, e.id, "Content-Length: 999\r\n")))+hidden)
			default:
				e.respond("200 OK", e.id, "body of "+e.id)
			}
			return true
		})
		if response, err := s.send("head", "HEAD", nil); err != nil || len(response.Body) > 0 {
			t.Fatalf("%q: got %+v, %v", length, response, err)
		}
		s.expectOutcomeUnknown(t, "two", "GET")
		s.expectBody(t, "three", "body of three")
	}
}

func TestInterimResponsesKeepConnectionReusable(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
		e.respond("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.expectBody(t, "one", "body of one")
	s.expectBody(t, "two", "body of two")
	if count := s.connections.Load(); count != 1 {
		t.Fatalf("%d connections; interim responses prevented reuse", count)
	}
}

func TestConnectionCloseHeaderPreventsReuse(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		e.respond("200 OK\r\nConnection: close", e.id, "body of "+e.id)
		time.Sleep(100 * time.Millisecond)
		return false
	})
	s.expectBody(t, "one", "body of one")
	s.expectBody(t, "two", "body of two")
}

func TestPartlyReadBodyPreventsReuse(t *testing.T) {
	s := newScriptedServer(t, func(e exchange) bool {
		if e.number == 1 {
			_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\nContent-Length: 9000\r\n\r\npart", e.id)
			return true
		}
		// The rest of the first body, containing what looks like a response.
		e.respond("200 OK", e.id, "hidden")
		return true
	})
	response, err := s.send("one", "GET", func(delivery *upstream.Delivery) { delivery.BufferLimit = 4 })
	if err != nil || response.Remainder == nil {
		t.Fatalf("got %+v, %v", response, err)
	}
	_, _ = io.ReadFull(response.Remainder, make([]byte, 4))
	response.Finish(false)
	_, _ = s.send("two", "GET", nil)
	if count := s.connections.Load(); count != 2 {
		t.Fatalf("%d connections; want 2, as a partly read body prevents reuse", count)
	}
}

// A response that is sent before the whole request was read is returned, even if
// writing the rest of the request fails.
func TestServerRespondsEarlyAndCloses(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = conn.Read(make([]byte, 300))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nPloverhitch-Attempt-Id: one\r\nPloverhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
	}()
	s := &scriptedServer{Pool: &upstream.Pool{Address: listener.Addr().String(), Instance: "i-1"}}
	response, err := s.send("one", "POST", func(delivery *upstream.Delivery) {
		delivery.Request.Body, delivery.Request.HasBody = make([]byte, 16<<20), true
	})
	if err != nil || !response.IsNotExecuted() {
		t.Fatalf("got %+v, %v", response, err)
	}
}

// A response that arrives before the request body was sent must not cut the body off:
// the server would read the next request as part of it.
func TestServerRespondsEarlyAndStillReceivesWholeBody(t *testing.T) {
	const size = 4 << 20
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	second := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		exchange{Conn: conn, id: "one"}.respond("200 OK", "one", "early")
		time.Sleep(50 * time.Millisecond)
		count, _ := io.Copy(io.Discard, request.Body)
		next, err := http.ReadRequest(reader)
		if err != nil {
			second <- err.Error()
			return
		}
		second <- fmt.Sprint(count, " ", next.Header.Get(upstream.HeaderAttempt))
		exchange{Conn: conn, id: "two"}.respond("200 OK", "two", "body of two")
	}()
	s := &scriptedServer{Pool: &upstream.Pool{Address: listener.Addr().String(), Instance: "i-1"}}
	response, err := s.send("one", "POST", func(delivery *upstream.Delivery) {
		delivery.Request.Body, delivery.Request.HasBody = make([]byte, size), true
	})
	if err != nil || string(response.Body) != "early" {
		t.Fatalf("got %+v, %v", response, err)
	}
	s.expectBody(t, "two", "body of two")
	if got := <-second; got != fmt.Sprint(size, " two") {
		t.Fatalf("server read %q instead of the whole body and the second request", got)
	}
}
