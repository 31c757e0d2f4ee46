package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Act is what a stand-in server does with one request.
type Act uint8

// The acts: a server may answer, or go wrong in every way that the protocol
// allows for.
const (
	Answer Act = iota
	Shed
	Misdirect
	Fail500
	CutBefore
	CutWithin
	NoSeal
	Garbage
	SurplusBefore
	SurplusAfter
	Silent
	// SilentShed is silent first, and then turns the request away.
	SilentShed
	// SilentCut is silent first, and then breaks the connection.
	SilentCut
)

// Run is one request that a server ran.
type Run struct {
	Attempt, Key, Target, Body, Instance, Deadline, Shadow string
}

// Server is a server of a service: it runs requests, seals its answers, and
// goes wrong as it is told.
type Server struct {
	ID       string
	listener net.Listener
	lock     sync.Mutex
	acts     []Act
	runs     []Run
	arrivals int
	conns    int
	held     chan struct{}
	// usual is the act where none is told, work how long an request takes.
	usual Act
	work  time.Duration
	meter *Meter
	open  map[net.Conn]bool
	// slots are for those at work and in the queue, and for those at work.
	queue, slots chan struct{}
	// by is what its replies are signed with.
	by string
	// filler makes its bodies longer.
	filler []byte
	// writing is the number of answers that are being written.
	writing atomic.Int64
}

// NewServer starts a server on an address; port 0 takes a free one.
//
// Example:
//
//	server, err := standin.NewServer("i-1", "127.0.0.1:0")
func NewServer(id, address string) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, listener: listener, held: make(chan struct{}), open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.lock.Lock()
			s.conns++
			s.open[conn] = true
			s.lock.Unlock()
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Address is where the server listens.
//
// Example:
//
//	rack := &upstream.Pool{Address: server.Address()}
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and frees what Silent held.
//
// Example:
//
//	defer server.Close()
func (s *Server) Close() {
	_ = s.listener.Close()
	s.Free()
}

// Free lets the requests that Silent held be answered.
//
// Example:
//
//	server.Free()
func (s *Server) Free() {
	s.lock.Lock()
	defer s.lock.Unlock()
	close(s.held)
	s.held = make(chan struct{})
}

// Next says what to do with the coming requests, one act each; after them the
// server answers.
//
// Example:
//
//	server.Next(standin.Shed, standin.CutWithin)
func (s *Server) Next(acts ...Act) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.acts = acts
}

// Runs are the requests that ran, in order.
//
// Example:
//
//	count := len(server.Runs())
func (s *Server) Runs() []Run {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]Run(nil), s.runs...)
}

// Counts tells how many requests arrived, and over how many connections.
//
// Example:
//
//	arrivals, conns := server.Counts()
func (s *Server) Counts() (arrivals, conns int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.arrivals, s.conns
}

func (s *Server) begin(r *http.Request, body string) (Act, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals++
	act := s.usual
	if len(s.acts) > 0 {
		act, s.acts = s.acts[0], s.acts[1:]
	}
	if target := r.Header.Get("Ploverhitch-Target-Instance"); target != "" && target != s.ID {
		act = Misdirect
	}
	if act != Shed && act != Misdirect && act != SilentShed {
		s.runs = append(s.runs, Run{
			Attempt: r.Header.Get("Ploverhitch-Attempt-Id"), Key: r.Header.Get("Ploverhitch-Operation-Key"), Target: r.RequestURI,
			Body: body, Instance: r.Header.Get("Ploverhitch-Target-Instance"), Deadline: r.Header.Get("Ploverhitch-Deadline-Ms"),
			Shadow: r.Header.Get("Ploverhitch-Shadow"),
		})
	}
	return act, s.held
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.open, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		received, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Ploverhitch-Attempt-Id")
		seal := "Ploverhitch-Server-Seal: seal-of-" + id + "\r\n"
		leave, isIn := s.enter()
		if !isIn {
			write(conn, "503 Service Unavailable", id, "Ploverhitch-Not-Executed: 1\r\n", "")
			continue
		}
		act, held := s.begin(r, string(received))
		text, filler := s.body(id)
		length := len(text) + len(filler)
		s.runWork()
		leave()
		switch act {
		case Shed, SilentShed:
			if act == SilentShed {
				<-held
			}
			write(conn, "503 Service Unavailable", id, "Ploverhitch-Not-Executed: 1\r\n", "")
			continue
		case Misdirect:
			// In every answer a server echoes the id, also where it turns away.
			write(conn, "421 Misdirected Request", id, "Ploverhitch-Instance-Id: "+s.ID+"\r\n", "")
			continue
		case Fail500:
			write(conn, "500 Internal Server Error", id, seal, "")
			continue
		case SilentCut:
			<-held
			return
		case CutBefore:
			return
		case CutWithin:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\npart", id, seal, 900+length)
			return
		case NoSeal:
			seal = ""
		case Garbage:
			_, _ = io.WriteString(conn, "\x00\x01 no answer at all\r\n\r\n")
			return
		case SurplusBefore:
			write(conn, "200 OK", "of-another", "Ploverhitch-Server-Seal: stray\r\n", "stray")
		case Silent:
			<-held
		}
		if r.Method == http.MethodHead {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", id, seal, length)
			continue
		}
		s.writeAnswer(conn, id, seal, text, filler)
		if act == SurplusAfter {
			write(conn, "200 OK", "of-another", "Ploverhitch-Server-Seal: stray\r\n", "stray")
		}
	}
}
