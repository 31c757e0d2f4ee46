package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["uploads"] = uploads }

// uploads: some clients send bodies at the same time that are just within MaxBodyBytes.
func uploads(rec *record, trouble bool) (verdict string) {
	const memoryMb, clients = 284, 4
	t := newTown(rec)
	defer t.close()
	var list []listed
	for i := range 4 {
		list = append(list, entry(newServer(rec, fmt.Sprint("i-fee", i), "fees"), "fees", string(rune('a'+i%3))))
	}
	t.platform.set(list...)
	t.startAll(2, strings.Replace(firstConfiguration, `"Timeout":"1500ms"`, `"Timeout":"10s"`, 1))
	watch := t.supervise(memoryMb)
	defer watch.end()
	size := 60 << 20
	if !trouble {
		size = 1 << 20
	}
	body := make([]byte, size)
	answered, unanswered := 0, 0
	var lock sync.Mutex
	for round := 0; round < 6 && watch.machinesWith(3) < 2; round++ {
		for edge := 1; edge <= 2; edge++ {
			t.untilReady(edge)
		}
		var wait sync.WaitGroup
		for edge := 1; edge <= 2; edge++ {
			for client := range clients {
				wait.Go(func() {
					id := fmt.Sprintf("up-%d-%d-%d", round, edge, client)
					r := send(t.front(edge), "hulo84.example", "POST", "/fee/1", id, "k-"+id, body, 10*time.Second)
					lock.Lock()
					defer lock.Unlock()
					rec.add("sent POST /fee/1 of %d bytes to edge %d, id %s: answered %d, body %q, %v", size, edge, id, r.status, r.body, r.err)
					if r.status == 0 || r.err != nil {
						unanswered++
					} else {
						answered++
					}
				})
			}
		}
		wait.Wait()
		time.Sleep(time.Second)
	}
	rec.add("%d requests answered, %d not", answered, unanswered)
	if watch.machinesWith(3) == 2 {
		return fmt.Sprintf("Fault: on both edge machines the proxy went over MemoryMb three times; %d requests had no answer", unanswered)
	}
	return ""
}
