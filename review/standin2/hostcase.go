package main

import (
	"fmt"
	"time"
)

func init() { cases["host-case"] = hostCase }

const firstConfiguration = `{"Upsert":{"Services":[{"Name":"fees","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false,"IdempotentDedup":false,"Revision":"r1"},{"Name":"lessons","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false,"IdempotentDedup":false,"Revision":"r1"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms","Revision":"r1"},
"VirtualHosts":[{"Hostname":"hulo84.example","PathTable":[` + feeRoute + `]}]},"Remove":{"Routes":[]}}`

const feeRoute = `{"Name":"r-fee","PathPrefix":"/fee/","RouteType":"idempotent","Timeout":"1500ms","TargetLatency":"400ms","Priority":1,"Service":"fees","MaxAttempts":2,"Revision":"r1"}`

// hostCase: an operator sends a route with the host and the prefix of another route. The
// name of the host is written with a capital letter, which makes no difference in HTTP.
func hostCase(rec *record, trouble bool) (verdict string) {
	t := newTown(rec)
	defer t.close()
	fees, lessons := newServer(rec, "i-fee1", "fees"), newServer(rec, "i-les1", "lessons")
	t.platform.set(entry(fees, "fees", "a"), entry(lessons, "lessons", "a"))
	t.startAll(1, firstConfiguration)
	post := func(id, key string) {
		r := send(t.front(1), "hulo84.example", "POST", "/fee/1", id, key, []byte("seat=1"), 3*time.Second)
		rec.add("sent POST /fee/1 to host hulo84.example, id %s, key %s: answered %d, seal %q, body %q", id, key, r.status, r.seal, r.body)
		if r.status != 200 {
			check(fmt.Errorf("a fee operation was answered %d", r.status))
		}
	}
	post("before-1", "k-before")
	post("before-2", "k-before")
	prefix := "/fee/"
	if !trouble {
		prefix = "/other/"
	}
	order := `{"Upsert":{"VirtualHosts":[{"Hostname":"Hulo84.example","PathTable":[{"Name":"r-les","PathPrefix":"` + prefix + `","RouteType":"safe","Timeout":"1500ms","TargetLatency":"400ms","Priority":1,"Service":"lessons","MaxAttempts":2,"Revision":"r2"}]}]},"Remove":{"Routes":[]}}`
	status, text := t.modify(1, order)
	rec.add("order: route r-les with host Hulo84.example, prefix %s, service lessons: answered %d %s", prefix, status, text)
	time.Sleep(3 * time.Second)
	post("after-1", "k-after")
	post("after-2", "k-after")
	runs, elsewhere := map[string]int{}, 0
	for _, s := range []*server{fees, lessons} {
		for _, one := range s.allRuns() {
			runs[one.key]++
			if s == lessons && one.target == "/fee/1" {
				elsewhere++
			}
		}
	}
	rec.add("key k-before ran %d times, key k-after ran %d times, %d of the runs at the service lessons", runs["k-before"], runs["k-after"], elsewhere)
	if trouble && status == 200 {
		verdict = "CONFIG: an order by which two routes share host and prefix was acknowledged"
	}
	if runs["k-before"] > 1 || runs["k-after"] > 1 {
		verdict += fmt.Sprintf("; TWICE: a key ran %d times", max(runs["k-before"], runs["k-after"]))
	}
	return verdict
}
