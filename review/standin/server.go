package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server has begun work on.
type run struct {
	attempt, key, server string
	at                   time.Time
}

// server is a stand-in server as the pages describe one: it works on as many requests at
// the same time as its capacity says, queues a few more, and answers 503 with
// Ploverhitch-Not-Executed when it is full or when the handed deadline has passed in its
// queue. How long a request takes stands in its query as work, in milliseconds, and how long
// its answer is as size, in bytes.
type server struct {
	id, service string
	rec         *recorder
	address     string
	slots       chan struct{}
	queued      int
	mu          sync.Mutex
	runs        []run
	// loseAnswer, if set, tells whether the answer of a run is lost.
	loseAnswer func(key string) bool
	began      func(run)
}

const (
	queueLength = 8
	queueCheck  = 20 * time.Millisecond
)

func (c *cluster) addServer(id, service string, capacity int) (*server, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.8.1:0", c.net))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, rec: c.rec, address: listener.Addr().String(), slots: make(chan struct{}, capacity)}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}).Serve(listener)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, map[string]any{"InstanceId": id, "Service": service, "Address": s.address, "Zone": "tvm-a", "Revision": "v1", "Capacity": capacity, "State": "ready", "WarmupLeft": "0ms"})
	return s, nil
}

func (s *server) runsOf(key string) (found []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.key == key {
			found = append(found, r)
		}
	}
	return found
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Ploverhitch-Instance-Id", s.id)
		return
	}
	attempt, key := r.Header.Get("Ploverhitch-Attempt-Id"), r.Header.Get("Ploverhitch-Operation-Key")
	w.Header().Set("Ploverhitch-Attempt-Id", attempt)
	w.Header().Set("Keep-Alive", "timeout=10")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	refuse := func(status int, why string) {
		s.rec.logf("server %s: %s %s key=%q -> %d Not-Executed (%s)", s.id, attempt, r.RequestURI, key, status, why)
		w.Header().Set("Ploverhitch-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if target := r.Header.Get("Ploverhitch-Target-Instance"); target != "" && target != s.id {
		refuse(421, "another server was named")
		return
	}
	milliseconds, _ := strconv.Atoi(r.Header.Get("Ploverhitch-Deadline-Ms"))
	// The server looks through its queue for passed deadlines every queueCheck.
	deadline := time.NewTimer(time.Duration(milliseconds)*time.Millisecond + queueCheck)
	defer deadline.Stop()
	s.mu.Lock()
	full := s.queued >= queueLength
	s.queued++
	s.mu.Unlock()
	leaveQueue := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queued--
	}
	if full {
		leaveQueue()
		refuse(503, "full")
		return
	}
	select {
	case s.slots <- struct{}{}:
		leaveQueue()
	case <-deadline.C:
		leaveQueue()
		refuse(503, "its deadline passed in the queue")
		return
	case <-r.Context().Done():
		leaveQueue()
		s.rec.logf("server %s: %s key=%q left the queue, its connection closed", s.id, attempt, key)
		return
	}
	defer func() { <-s.slots }()
	begun := run{attempt, key, s.id, time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, begun)
	number := len(s.runs)
	s.mu.Unlock()
	s.rec.logf("server %s: RUN %s %s %s key=%q deadline=%dms", s.id, attempt, r.Method, r.RequestURI, key, milliseconds)
	if s.began != nil {
		s.began(begun)
	}
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	time.Sleep(time.Duration(work) * time.Millisecond)
	if s.loseAnswer != nil && s.loseAnswer(key) {
		s.rec.logf("server %s: the answer to %s key=%q is lost", s.id, attempt, key)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	w.Header().Set("Ploverhitch-Server-Seal", fmt.Sprintf("%s.%d", s.id, number))
	_, _ = fmt.Fprintf(w, "%s ran %s as number %d (%d bytes)", s.id, r.RequestURI, number, len(body))
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	_, _ = io.WriteString(w, strings.Repeat(".", size))
}
