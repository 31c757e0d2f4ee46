package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["max-attempts"] = maxAttempts }

// maxAttempts: an operator sets the MaxAttempts of a route so high that it is no limit.
func maxAttempts(rec *record, trouble bool) (verdict string) {
	t := newTown(rec)
	defer t.close()
	fees, lessons := newServer(rec, "i-fee1", "fees"), newServer(rec, "i-les1", "lessons")
	t.platform.set(entry(fees, "fees", "a"), entry(lessons, "lessons", "a"))
	t.startAll(2, strings.Replace(firstConfiguration, feeRoute, feeRoute+`]},{"Hostname":"jepu9.example","PathTable":[`+readRoute("2", "r1"), 1))
	watch := t.supervise(284)
	defer watch.end()
	answered, unanswered := 0, 0
	play := func(name string, seconds int) {
		for i := 0; i < 4*seconds && watch.machinesWith(3) < 2; i++ {
			for edge := 1; edge <= 2; edge++ {
				id := fmt.Sprintf("%s-%d-%d", name, edge, i)
				r := send(t.front(edge), "jepu9.example", "GET", "/read/1", id, "", nil, 2*time.Second)
				rec.add("sent GET /read/1 to edge %d, id %s: answered %d, body %q, %v", edge, id, r.status, r.body, r.err)
				if r.status == 200 {
					answered++
				} else {
					unanswered++
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	play("before", 2)
	if unanswered > 0 {
		check(fmt.Errorf("%d requests before the order had no answer", unanswered))
	}
	values := []string{"2147483647", "1000000000000"}
	if !trouble {
		values = []string{"3", "4"}
	}
	for i, value := range values {
		status, text := t.modify(1, `{"Upsert":{"VirtualHosts":[{"Hostname":"jepu9.example","PathTable":[`+readRoute(value, fmt.Sprint("r", i+2))+`]}]},"Remove":{"Routes":[]}}`)
		rec.add("order: MaxAttempts of route r-read is %s: answered %d %s", value, status, text)
		time.Sleep(time.Second)
		play("after-"+value, 12)
		if watch.machinesWith(3) == 2 {
			return fmt.Sprintf("Fault: on both edge machines the proxy ended by itself three times; %d requests had no answer", unanswered)
		}
	}
	rec.add("%d requests answered, %d not; on %d machines the proxy ended", answered, unanswered, watch.machinesWith(1))
	return ""
}

func readRoute(attempts, revision string) string {
	return `{"Name":"r-read","PathPrefix":"/read/","RouteType":"safe","Timeout":"1200ms","TargetLatency":"300ms","Priority":2,"Service":"lessons","MaxAttempts":` + attempts + `,"Revision":"` + revision + `"}`
}
