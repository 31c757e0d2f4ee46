package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a server of a service. It runs each request and answers with a seal, unless
// act decides otherwise.
type server struct {
	id, service string
	listener    net.Listener
	record      *record
	// act, if set, handles a request in place of the usual run; false leaves it to that.
	act  func(s *server, conn net.Conn, reader *bufio.Reader, r *http.Request) (handled, keep bool)
	work time.Duration
	lock sync.Mutex
	runs []run
}

// run is one request that the server ran.
type run struct {
	server, service, attempt, key, method, target string
	bytes                                         int
	at                                            time.Time
}

func newServer(rec *record, id, service string) *server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s := &server{id: id, service: service, listener: listener, record: rec}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if target := r.Header.Get("Ploverhitch-Target-Instance"); target != "" && target != s.id {
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Ploverhitch-Attempt-Id"))
			continue
		}
		if s.act != nil {
			if handled, keep := s.act(s, conn, reader, r); handled {
				if !keep {
					return
				}
				continue
			}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.ran(r, len(body))
		time.Sleep(s.work)
		answer(conn, r, s.answerBody(r))
	}
}

func (s *server) answerBody(r *http.Request) string {
	return fmt.Sprintf("%s of %s ran %s\n", s.id, s.service, r.Header.Get("Ploverhitch-Attempt-Id"))
}

func answer(conn net.Conn, r *http.Request, body string) {
	id := r.Header.Get("Ploverhitch-Attempt-Id")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// ran notes that the server has begun work on a request.
func (s *server) ran(r *http.Request, bytes int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	one := run{s.id, s.service, r.Header.Get("Ploverhitch-Attempt-Id"), r.Header.Get("Ploverhitch-Operation-Key"), r.Method, r.RequestURI, bytes, time.Now()}
	s.runs = append(s.runs, one)
	s.record.add("run: server %s of %s runs %s %s, id %s, key %q, %d bytes", s.id, s.service, one.method, one.target, one.attempt, one.key, bytes)
}

func (s *server) allRuns() []run {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]run(nil), s.runs...)
}
