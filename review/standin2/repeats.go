package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["content-type"] = func(rec *record, trouble bool) string {
		contentType := "application/pdf; name=\"Best\xe4tigung.pdf\""
		if !trouble {
			contentType = "application/pdf; name=\"Bestaetigung.pdf\""
		}
		return repeats(rec, 120, 1500, 8, 20, contentType)
	}
}

// repeats sends keyed operations, some at the same time, and repeats every so many of
// them three seconds after all were answered. It judges the repeats whose first try was
// answered with success.
func repeats(rec *record, count, bytes, atOnce, every int, contentType string) (verdict string) {
	t := newTown(rec)
	defer t.close()
	var list []listed
	for i := range 6 {
		s := newServer(rec, fmt.Sprint("i-fee", i), "fees")
		s.act = func(s *server, conn net.Conn, _ *bufio.Reader, r *http.Request) (handled, keep bool) {
			sent, err := io.ReadAll(r.Body)
			if err != nil {
				return true, false
			}
			s.ran(r, len(sent))
			time.Sleep(50 * time.Millisecond)
			id := r.Header.Get("Ploverhitch-Attempt-Id")
			body := strings.Repeat("x", bytes) + id
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", contentType, id, id, len(body), body)
			return true, true
		}
		list = append(list, entry(s, "fees", string(rune('a'+i%3))))
	}
	t.platform.set(list...)
	t.startAll(2, firstConfiguration)
	first, began := make([]result, count), make([]time.Time, count)
	var wait sync.WaitGroup
	places := make(chan bool, atOnce)
	for i := range count {
		places <- true
		wait.Go(func() {
			defer func() { <-places }()
			began[i] = time.Now()
			first[i] = send(t.front(1), "hulo84.example", "POST", "/fee/1", fmt.Sprint("first-", i), fmt.Sprint("k-", i), []byte("seat=1"), 5*time.Second)
			r := first[i]
			rec.add("sent POST /fee/1 to edge 1, id first-%d, key k-%d: answered %d, seal %q, %d bytes, %v", i, i, r.status, r.seal, len(r.body), r.err)
		})
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	denied, repeated := 0, 0
	for i := 0; i < count; i += every {
		if first[i].status != 200 || first[i].err != nil {
			continue
		}
		repeated++
		r := send(t.front(2), "hulo84.example", "POST", "/fee/1", fmt.Sprint("again-", i), fmt.Sprint("k-", i), []byte("seat=1"), 5*time.Second)
		rec.add("sent again to edge 2, id again-%d, key k-%d, %.1f s after the first: answered %d, seal %q, %d bytes, %v", i, i, time.Since(began[i]).Seconds(), r.status, r.seal, len(r.body), r.err)
		if r.status == 409 {
			denied++
		}
	}
	rec.add("%d first tries answered with success, %d of their repeats got 409", repeated, denied)
	if repeated < count/every/2 {
		check(fmt.Errorf("only %d of %d first tries were answered with success", repeated, count/every))
	}
	if denied > 3 {
		return fmt.Sprintf("DENIED: the repeats of %d keys whose first try was answered with success got 409", denied)
	}
	return ""
}
