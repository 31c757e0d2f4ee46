package standin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// SetDefault says what to do with every request that Next says nothing of, and how
// long each takes.
//
// Example:
//
//	server.SetDefault(standin.Fail500, 20*time.Millisecond)
func (s *Server) SetDefault(act Act, work time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.usual, s.work = act, work
}

// Meter counts what several servers have at work together.
type Meter struct {
	lock       sync.Mutex
	load, peak int
}

// Peak is the most requests that were at work at one time, and begins anew.
//
// Example:
//
//	isOverrun := meter.Peak() > capacity
func (m *Meter) Peak() (peak int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	peak, m.peak = m.peak, m.load
	return peak
}

func (m *Meter) count(step int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.load += step
	m.peak = max(m.peak, m.load)
}

// Meter lets the server's work count on the meter too.
//
// Example:
//
//	server.Meter(site)
func (s *Server) Meter(meter *Meter) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.meter = meter
}

// runWork counts the request's work, and takes as long.
func (s *Server) runWork() {
	s.lock.Lock()
	work, meter := s.work, s.meter
	s.lock.Unlock()
	if meter != nil {
		meter.count(1)
		defer meter.count(-1)
	}
	if work > 0 {
		<-time.After(work)
	}
}

// Crash stops the server and breaks all its connections, as when its machine
// is gone.
//
// Example:
//
//	server.Crash()
func (s *Server) Crash() {
	s.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}

// Slots bounds the server's work: so many requests at a time, and so many more
// that wait; any further one is turned away.
//
// Example:
//
//	server.Slots(2, 8)
func (s *Server) Slots(slots, queue int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.slots, s.queue = make(chan struct{}, slots), make(chan struct{}, slots+queue)
}

// enter waits for a slot, or tells that the server is full.
func (s *Server) enter() (leave func(), isIn bool) {
	s.lock.Lock()
	slots, queue := s.slots, s.queue
	s.lock.Unlock()
	if slots == nil {
		return func() {}, true
	}
	select {
	case queue <- struct{}{}:
	default:
		s.lock.Lock()
		defer s.lock.Unlock()
		s.arrivals++
		return nil, false
	}
	slots <- struct{}{}
	return func() { <-slots; <-queue }, true
}

// Sign lets the server's replies bear a name other than its own, as those of two
// builds of one service do.
//
// Example:
//
//	server.Sign("lessons")
func (s *Server) Sign(by string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.by = by
}

// Long makes the server's bodies longer by so many bytes.
//
// Example:
//
//	server.Long(60_000)
func (s *Server) Long(bytes int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.filler = []byte(strings.Repeat(".", bytes))
}

// body is what the server says of an attempt: a text, and the filler that makes it longer.
func (s *Server) body(attempt string) (text string, filler []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return "body of " + attempt + " by " + or(s.by, s.ID), s.filler
}

// Writing returns the number of answers that the server is writing.
//
// Example:
//
//	busy := server.Writing() > 0
func (s *Server) Writing() int { return int(s.writing.Load()) }

// writeAnswer writes a whole answer and counts it meanwhile.
func (s *Server) writeAnswer(conn net.Conn, id, seal, text string, filler []byte) {
	s.writing.Add(1)
	defer s.writing.Add(-1)
	if len(filler) < largeBytes {
		write(conn, "200 OK", id, seal, text+string(filler))
		return
	}
	// What is large is not copied.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, seal, len(text)+len(filler), text)
	_, _ = conn.Write(filler)
}

// largeBytes is the length from which the filler of a body is written by itself.
const largeBytes = 1 << 20

func write(conn net.Conn, status, id, more, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nPloverhitch-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, more, len(body), body)
}
