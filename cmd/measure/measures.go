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

func measurements() []measurement {
	servers, routes := []int{500, 2000, 8000}, []int{200, 1000, 5000}
	return []measurement{
		{"agent", "fleet checkpoint, by servers", servers, measureCheckpoint},
		{"agent", "change of all relative latencies, by servers", servers, measureHealthChange},
		{"proxy", "server set updated, by servers (one in 100 new)", servers, measureServerSet},
		{"proxy", "relative latencies updated, by servers", servers, measureHealthUpdate},
		{"proxy", "configuration compiled, by routes", routes, measureCompile},
		{"control", "item set kept, by routes", routes, measureItemSet},
		{"control", "intents kept for a keyed operation, by operations", []int{2000, 8000, 32000}, measureIntents},
		{"control", "update sent to followers, by followers", []int{100, 400, 1600}, measureFollowers},
		{"control", "change agreed, by members", []int{3, 5, 9}, measureAgreement},
		{"control", "change validated, by routes", routes, measureDraft},
		{"leader", "reports processed, by proxies (12 servers each)", []int{100, 400, 1600}, measureReports},
		{"leader", "cutoff decided, by proxies", []int{100, 400, 1600}, measureCutoff},
	}
}

func fleetOf(count int, sequence uint64, relativeLatency int) feed.Fleet {
	fleet := feed.Fleet{Term: 1, Count: sequence, Leader: "10.1.0.42:7200", Proxies: 100}
	for id := range count {
		fleet.Servers = append(fleet.Servers, feed.Server{
			ID: fmt.Sprintf("i-%010x", id), Service: fmt.Sprint("service-", id%(count/32)), Address: fmt.Sprintf("10.%d.%d.%d:8080", id>>16&255, id>>8&255, id&255),
			Zone: fmt.Sprint("zone-", id%20), Capacity: 2, IsReady: true, Revision: "v1", RelativeLatency: relativeLatency,
		})
	}
	return fleet
}

func encodedSize(value any) int {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

func measureCheckpoint(size int) result {
	fleet := fleetOf(size, 1, 8)
	return result{encodedSize(fleet), averageTime(func() { encodedSize(fleet) })}
}

func measureHealthChange(size int) result {
	old, next := fleetOf(size, 1, 8), fleetOf(size, 2, 9)
	return result{encodedSize(next.DiffFrom(old)), averageTime(func() { old.Apply(next.DiffFrom(old)) })}
}

func measureServerSet(size int) result {
	old, next := fleetOf(size, 1, 8), fleetOf(size, 2, 8)
	for i := range next.Servers {
		if i%100 == 0 {
			next.Servers[i].ID += "x"
		}
	}
	locality := balancer.Locality{Node: "edge-1", Zone: "zone-1", SubsetSize: 24}
	bytes, serverSet := retainedBytes(func() *balancer.ServerSet { return balancer.NewServerSet(locality).WithFleet(old) })
	return result{bytes, averageTime(func() { serverSet.WithFleet(next) })}
}

func measureHealthUpdate(size int) result {
	old, next := fleetOf(size, 1, 8), fleetOf(size, 2, 9)
	serverSet := balancer.NewServerSet(balancer.Locality{Node: "edge-1", Zone: "zone-1", SubsetSize: 24}).WithFleet(old)
	return result{0, averageTime(func() { serverSet.UpdateHealth(next) })}
}

func itemSetOf(size int) config.ItemSet {
	var items []config.Item
	for i := range size {
		name := fmt.Sprint("lane-", i)
		body, _ := json.Marshal(config.RouteSpec{
			Name: name, PathPrefix: "/" + name + "/", RouteType: config.Safe, Timeout: clock.Duration(time.Second), TargetLatency: clock.Duration(time.Second),
			Service: fmt.Sprint("service-", i%40), MaxAttempts: 2, Revision: 1,
		})
		items = append(items, config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: 1, Host: fmt.Sprint("h", i%400, ".example"), Body: body})
	}
	itemSet := config.ItemSet{}
	itemSet.Merge(items)
	return itemSet
}

func measureCompile(size int) result {
	itemSet := itemSetOf(size)
	bytes, _ := retainedBytes(itemSet.Compile)
	return result{bytes, averageTime(func() { itemSet.Compile() })}
}

func measureItemSet(size int) result {
	bytes, kept := retainedBytes(func() config.ItemSet { return itemSetOf(size) })
	return result{bytes, averageTime(func() { kept.Digest() })}
}

func measureIntents(size int) result {
	body := make([]byte, 1500)
	vote := func(voter *idempotency.Voter, i int) {
		name := fmt.Sprint("k-", i)
		intent := idempotency.Intent{Key: idempotency.Key{Tenant: "h.example", Key: name}, Attempt: idempotency.Attempt(name), Route: "route", Service: "fees", Reservation: name, CreatedMs: 1}
		voter.Reserve(intent)
		intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Status: 200, Seal: "3e1b.07.5a2.600.0.c9f2a4d1", Body: append([]byte(nil), body...)}
		entry, err := voter.Record(intent)
		if err != nil {
			panic(err)
		}
		encodedSize(entry)
	}
	var took time.Duration
	bytes, _ := retainedBytes(func() *idempotency.Voter {
		voter, began := idempotency.NewVoter(idempotency.Policy{KeyWindow: time.Minute}), time.Now()
		for i := range size {
			vote(voter, i)
		}
		took = time.Since(began)
		return voter
	})
	return result{bytes, took}
}

func measureFollowers(size int) result {
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
	sequence, relativeLatency := uint64(2), 8
	return result{sent, averageTime(func() {
		sequence, relativeLatency = sequence+1, 17-relativeLatency
		fleet := fleetOf(1000, sequence, relativeLatency)
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

func measureReports(size int) result {
	aggregator, number := outlier.NewAggregator(clock.Real()), uint64(0)
	bytes := 0
	for proxy := range size {
		bytes += encodedSize(reportOf(proxy, 1))
	}
	return result{bytes, averageTime(func() {
		number++
		for proxy := range size {
			aggregator.AddReport(reportOf(proxy, number))
		}
		aggregator.UpdateWindow()
	})}
}

func measureCutoff(size int) result {
	gauge := shedding.NewController(clock.Real(), func() uint64 { return 1 })
	loads := []shedding.Load{{Service: "a", Offered: 9, Sent: 9, Rejected: 3}, {Service: "b", Tier: 1, Offered: 9, Sent: 9}}
	return result{size * encodedSize(loads), averageTime(func() {
		for proxy := range size {
			gauge.Add(fmt.Sprint("edge-", proxy), loads)
		}
		gauge.Decide(func(string) float64 { return 1 })
	})}
}
