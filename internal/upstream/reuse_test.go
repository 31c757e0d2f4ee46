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

func TestRepliesToHeadLeaveNoBytesToTheNextInquiry(t *testing.T) {
	const claimed = 900
	head := "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\n%s\r\n"
	// A reply to HEAD may name a length, or none; neither has a body.
	for _, length := range []string{fmt.Sprintf("Content-Length: %d\r\n", claimed), "Transfer-Encoding: chunked\r\n", ""} {
		s := script(t, func(e exchange) bool {
			switch e.number {
			case 1:
				_, _ = fmt.Fprintf(e, head, e.id, length)
			case 2:
				// The reply to the HEAD once more: its bytes never come, and what stands
				// so many bytes later is text in another reply's body.
				_, _ = fmt.Fprintf(e, head, "head", length)
				hidden := fmt.Sprintf(head, e.id, "Content-Length: 6\r\n") + "hidden"
				e.answer("200 OK", e.id, strings.Repeat("x", claimed-len(fmt.Sprintf(head, e.id, "Content-Length: 999\r\n")))+hidden)
			default:
				e.answer("200 OK", e.id, "body of "+e.id)
			}
			return true
		})
		if reply, err := s.send("head", "HEAD", nil); err != nil || len(reply.Body) > 0 {
			t.Fatalf("%q: got %+v, %v", length, reply, err)
		}
		s.wantUnknown(t, "two", "GET")
		s.want(t, "three", "body of three")
	}
}

func TestInterimRepliesLeaveTheConnectionInUse(t *testing.T) {
	s := script(t, func(e exchange) bool {
		_, _ = io.WriteString(e, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
		e.answer("200 OK", e.id, "body of "+e.id)
		return true
	})
	s.want(t, "one", "body of one")
	s.want(t, "two", "body of two")
	if count := s.conns.Load(); count != 1 {
		t.Fatalf("%d connections", count)
	}
}

func TestConnectionThatTheServerIsToCloseIsNotUsedAgain(t *testing.T) {
	s := script(t, func(e exchange) bool {
		e.answer("200 OK\r\nConnection: close", e.id, "body of "+e.id)
		time.Sleep(100 * time.Millisecond)
		return false
	})
	s.want(t, "one", "body of one")
	s.want(t, "two", "body of two")
}

func TestRestOfABrokenBodyIsNotTheNextReply(t *testing.T) {
	s := script(t, func(e exchange) bool {
		if e.number == 1 {
			_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\nContent-Length: 9000\r\n\r\npart", e.id)
			return true
		}
		// What was due of the first body, and in it what looks like a reply.
		e.answer("200 OK", e.id, "hidden")
		return true
	})
	reply, err := s.send("one", "GET", func(order *upstream.Delivery) { order.BufferLimit = 4 })
	if err != nil || reply.Remainder == nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
	_, _ = io.ReadFull(reply.Remainder, make([]byte, 4))
	reply.Finish(false)
	_, _ = s.send("two", "GET", nil)
	if count := s.conns.Load(); count != 2 {
		t.Fatalf("%d connections: one with a body half read was used again", count)
	}
}

func TestServerThatAnswersBeforeItHasReadAllAndCloses(t *testing.T) {
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
	s := &scripted{Pool: &upstream.Pool{Address: listener.Addr().String(), Instance: "i-1"}}
	reply, err := s.send("one", "POST", func(order *upstream.Delivery) {
		order.Request.Body, order.Request.HasBody = make([]byte, 16<<20), true
	})
	if err != nil || !reply.NotExecuted() {
		t.Fatalf("got %+v, %v", reply, err)
	}
}

func TestServerThatAnswersEarlyAndReadsOnGetsTheRestOfTheBody(t *testing.T) {
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
		exchange{Conn: conn, id: "one"}.answer("200 OK", "one", "early")
		time.Sleep(50 * time.Millisecond)
		count, _ := io.Copy(io.Discard, request.Body)
		next, err := http.ReadRequest(reader)
		if err != nil {
			second <- err.Error()
			return
		}
		second <- fmt.Sprint(count, " ", next.Header.Get(upstream.HeaderAttempt))
		exchange{Conn: conn, id: "two"}.answer("200 OK", "two", "body of two")
	}()
	s := &scripted{Pool: &upstream.Pool{Address: listener.Addr().String(), Instance: "i-1"}}
	reply, err := s.send("one", "POST", func(order *upstream.Delivery) {
		order.Request.Body, order.Request.HasBody = make([]byte, size), true
	})
	if err != nil || string(reply.Body) != "early" {
		t.Fatalf("got %+v, %v", reply, err)
	}
	s.want(t, "two", "body of two")
	if got := <-second; got != fmt.Sprint(size, " two") {
		t.Fatalf("where the body was due came %q", got)
	}
}
