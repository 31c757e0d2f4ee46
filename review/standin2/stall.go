package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stalled-readers"] = stalledReaders }

const (
	// stall is how long a client does not read, routeTimeout the Timeout of the route.
	stall        = 12 * time.Second
	routeTimeout = 1200 * time.Millisecond
	// slots is the Capacity of a server.
	slots = 4
	// longBytes is more than the buffers of the connections between server and client hold.
	longBytes = 48 << 20
)

var longBody = strings.Repeat("x", longBytes)

// stalledReaders: some clients of a download begin to read the answer and then stop, with
// their connections open. Their deadlines and the route's Timeout pass.
func stalledReaders(rec *record, trouble bool) (verdict string) {
	const clients = 32
	t := newTown(rec)
	defer t.close()
	var atWork, overdue atomic.Int64
	var list []listed
	for i := range 4 {
		s := newServer(rec, fmt.Sprint("i-les", i), "lessons")
		s.act = slottedServer(&atWork, &overdue)
		list = append(list, entry(s, "lessons", "a"))
	}
	list = append(list, entry(newServer(rec, "i-fee", "fees"), "fees", "a"))
	t.platform.set(list...)
	route := readRoute("2", "r1") + `,{"Name":"r-long","PathPrefix":"/long/","RouteType":"download","Timeout":"1200ms","TargetLatency":"300ms","Priority":2,"Service":"lessons","MaxAttempts":2,"Revision":"r1"}`
	t.startAll(1, strings.Replace(firstConfiguration, feeRoute, feeRoute+`]},{"Hostname":"jepu9.example","PathTable":[`+route, 1))
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() { download(rec, t.front(1), fmt.Sprint("long-", i), trouble) })
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(routeTimeout + 500*time.Millisecond)
	served, others := 0, 20
	for i := range others {
		r := send(t.front(1), "jepu9.example", "GET", "/read/1", fmt.Sprint("short-", i), "", nil, 3*time.Second)
		rec.add("another client sent GET /read/1, id short-%d: answered %d, %d requests at work at the servers", i, r.status, atWork.Load())
		if r.status == 200 {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)
	rec.add("%d of %d downloads were at work at a server more than 0.5 s after the route's Timeout; %d of %d other requests were served meanwhile", overdue.Load(), clients, served, others)
	if overdue.Load() >= 8 && 4*overdue.Load() > clients {
		return fmt.Sprintf("CONFIG: %d of %d requests had no end 0.5 s after the route's Timeout; %d of %d other requests were served meanwhile", overdue.Load(), clients, served, others)
	}
	return ""
}

// slottedServer works on as many requests at a time as it has slots, and turns others
// away. A request is at work until its answer is written or its connection ends.
func slottedServer(atWork, overdue *atomic.Int64) func(*server, net.Conn, *bufio.Reader, *http.Request) (bool, bool) {
	places := map[*server]chan bool{}
	var lock sync.Mutex
	return func(s *server, conn net.Conn, _ *bufio.Reader, r *http.Request) (handled, keep bool) {
		lock.Lock()
		if places[s] == nil {
			places[s] = make(chan bool, slots)
		}
		place := places[s]
		lock.Unlock()
		id := r.Header.Get("Ploverhitch-Attempt-Id")
		select {
		case place <- true:
		default:
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			return true, true
		}
		atWork.Add(1)
		defer func() { <-place; atWork.Add(-1) }()
		s.ran(r, 0)
		body := "short"
		if strings.HasPrefix(r.RequestURI, "/long/") {
			body = longBody
		}
		began := time.Now()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n", id, id, len(body))
		if err == nil {
			_, err = io.WriteString(conn, body)
		}
		took := time.Since(began)
		s.record.add("server %s: the answer of %s was written after %.1f s: %v", s.id, id, took.Seconds(), err)
		if took > routeTimeout+500*time.Millisecond {
			overdue.Add(1)
		}
		return true, err == nil
	}
}

// download requests a long answer and reads its header. A client that stalls reads the
// rest only later.
func download(rec *record, address, id string, stalls bool) {
	conn, err := net.Dial("tcp4", address)
	check(err)
	defer conn.Close()
	began := time.Now()
	fmt.Fprintf(conn, "GET /long/%s HTTP/1.1\r\nHost: jepu9.example\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Deadline-Ms: %d\r\n\r\n", id, id, routeTimeout.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.add("sent GET /long/%s, id %s: %v", id, id, err)
		return
	}
	rec.add("sent GET /long/%s, id %s: answered %d after %.2f s", id, id, response.StatusCode, time.Since(began).Seconds())
	if stalls && response.StatusCode == 200 {
		time.Sleep(stall)
	}
	count, err := io.Copy(io.Discard, response.Body)
	rec.add("id %s: %d of %d bytes read after %.2f s: %v", id, count, response.ContentLength, time.Since(began).Seconds(), err)
}
