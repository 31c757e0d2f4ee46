package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/shedding"
)

func measures() []measure {
	servers, lanes := []int{500, 2000, 8000}, []int{200, 1000, 5000}
	return []measure{
		{"agent", "checkpoint of the fleet, by servers", servers, checkpoint},
		{"agent", "change of all paces, by servers", servers, paces},
		{"proxy", "yard laid, by servers (one in 100 new)", servers, yard},
		{"proxy", "paces heard, by servers", servers, hear},
		{"proxy", "manifest compiled, by lanes", lanes, compile},
		{"control", "manifest kept, by lanes", lanes, book},
		{"control", "intents kept for a keyed operation, by operations", []int{2000, 8000, 32000}, intents},
		{"control", "news written to followers, by followers", []int{100, 400, 1600}, followers},
		{"control", "order agreed, by members", []int{3, 5, 9}, agree},
		{"control", "order checked, by routes", lanes, draft},
		{"holder", "reports heard, by proxies (12 servers each)", []int{100, 400, 1600}, reports},
		{"holder", "cutoff decided, by proxies", []int{100, 400, 1600}, cutoff},
	}
}

func fleetOf(count int, reading uint64, pace int) feed.Fleet {
	fleet := feed.Fleet{Term: 1, Count: reading, Leader: "10.1.0.42:7200", Proxies: 100}
	for id := range count {
		fleet.Servers = append(fleet.Servers, feed.Server{
			ID: fmt.Sprintf("i-%010x", id), Service: fmt.Sprint("service-", id%(count/32)), Address: fmt.Sprintf("10.%d.%d.%d:8080", id>>16&255, id>>8&255, id&255),
			Zone: fmt.Sprint("cell-", id%20), Capacity: 2, IsReady: true, Revision: "v1", RelativeLatency: pace,
		})
	}
	return fleet
}

func written(value any) int {
	text, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return len(text)
}

func checkpoint(size int) result {
	fleet := fleetOf(size, 1, 8)
	return result{written(fleet), repeated(func() { written(fleet) })}
}

func paces(size int) result {
	old, next := fleetOf(size, 1, 8), fleetOf(size, 2, 9)
	return result{written(next.DiffFrom(old)), repeated(func() { old.Apply(next.DiffFrom(old)) })}
}

func yard(size int) result {
	old, next := fleetOf(size, 1, 8), fleetOf(size, 2, 8)
	for at := range next.Servers {
		if at%100 == 0 {
			next.Servers[at].ID += "x"
		}
	}
	home := balancer.Locality{Node: "edge-1", Zone: "cell-1", SubsetSize: 24}
	bytes, laid := held(func() *balancer.ServerSet { return balancer.NewServerSet(home).WithFleet(old) })
	return result{bytes, repeated(func() { laid.WithFleet(next) })}
}

func hear(size int) result {
	old, next := fleetOf(size, 1, 8), fleetOf(size, 2, 9)
	laid := balancer.NewServerSet(balancer.Locality{Node: "edge-1", Zone: "cell-1", SubsetSize: 24}).WithFleet(old)
	return result{0, repeated(func() { laid.UpdateHealth(next) })}
}

func bookOf(size int) config.ItemSet {
	var items []config.Item
	for at := range size {
		name := fmt.Sprint("lane-", at)
		body, _ := json.Marshal(config.RouteSpec{
			Name: name, PathPrefix: "/" + name + "/", RouteType: config.Safe, Timeout: clock.Duration(time.Second), TargetLatency: clock.Duration(time.Second),
			Service: fmt.Sprint("service-", at%40), MaxAttempts: 2, Revision: 1,
		})
		items = append(items, config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: 1, Host: fmt.Sprint("h", at%400, ".example"), Body: body})
	}
	book := config.ItemSet{}
	book.Merge(items)
	return book
}

func compile(size int) result {
	book := bookOf(size)
	bytes, _ := held(book.Compile)
	return result{bytes, repeated(func() { book.Compile() })}
}

func book(size int) result {
	bytes, kept := held(func() config.ItemSet { return bookOf(size) })
	return result{bytes, repeated(func() { kept.Digest() })}
}

func intents(size int) result {
	body := make([]byte, 1500)
	vote := func(voter *idempotency.Voter, at int) {
		name := fmt.Sprint("k-", at)
		intent := idempotency.Intent{Key: idempotency.Key{Tenant: "h.example", Key: name}, Attempt: idempotency.Attempt(name), Route: "lane", Service: "fees", Reservation: name, CreatedMs: 1}
		voter.Reserve(intent)
		intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Status: 200, Seal: "3e1b.07.5a2.600.0.c9f2a4d1", Body: append([]byte(nil), body...)}
		entry, err := voter.Record(intent)
		if err != nil {
			panic(err)
		}
		written(entry)
	}
	var took time.Duration
	bytes, _ := held(func() *idempotency.Voter {
		voter, began := idempotency.NewVoter(idempotency.Policy{KeyWindow: time.Minute}), time.Now()
		for at := range size {
			vote(voter, at)
		}
		took = time.Since(began)
		return voter
	})
	return result{bytes, took}
}

func followers(size int) result {
	fleet := fleetOf(1000, 1, 8)
	hub := feed.NewHub()
	hub.Publish(feed.Update{Fleet: &fleet})
	bytes := 0
	follow, _ := cbor.Marshal(feed.FollowRequest{Name: "edge"})
	for range size {
		hub.Handle(rpc.Call{Body: follow, Closed: make(chan struct{}), Reply: func(news any) bool {
			bytes += len(news.(feed.Update).Encoded())
			return true
		}})
	}
	bytes = 0
	next := fleetOf(1000, 2, 9)
	hub.Publish(feed.Update{Fleet: &next})
	sent := bytes
	reading, pace := uint64(2), 8
	return result{sent, repeated(func() {
		reading, pace = reading+1, 17-pace
		fleet := fleetOf(1000, reading, pace)
		hub.Publish(feed.Update{Fleet: &fleet})
	})}
}

func reportOf(proxy int, number uint64) outlier.Report {
	report := outlier.Report{Node: fmt.Sprint("edge-", proxy), Incarnation: "a", Sequence: number}
	for server := range 12 {
		report.Servers = append(report.Servers, outlier.ServerCounts{ID: fmt.Sprintf("i-%010x", (proxy*7+server)%2000), Counts: outlier.Counts{3}, LatencyRatioSum: 3, LatencySamples: 3, Attempts: 3})
	}
	return report
}

func reports(size int) result {
	court, number := outlier.NewAggregator(clock.Real()), uint64(0)
	bytes := 0
	for proxy := range size {
		bytes += written(reportOf(proxy, 1))
	}
	return result{bytes, repeated(func() {
		number++
		for proxy := range size {
			court.AddReport(reportOf(proxy, number))
		}
		court.UpdateWindow()
	})}
}

func cutoff(size int) result {
	gauge := shedding.NewController(clock.Real(), func() uint64 { return 1 })
	loads := []shedding.Load{{Service: "a", Offered: 9, Sent: 9, Rejected: 3}, {Service: "b", Tier: 1, Offered: 9, Sent: 9}}
	return result{size * written(loads), repeated(func() {
		for proxy := range size {
			gauge.Add(fmt.Sprint("edge-", proxy), loads)
		}
		gauge.Decide(func(string) float64 { return 1 })
	})}
}
