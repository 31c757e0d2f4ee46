package shedding

import (
	"sync"
)

// Outcome is what an attempt shows about the load of its service.
type Outcome uint8

// The outcomes of an attempt.
const (
	InTime Outcome = iota
	// Late means that the response took much longer than usual and longer than the
	// target latency of the route.
	Late
	// Rejected means that the server was full.
	Rejected
)

type loadKey struct {
	service string
	tier    Tier
}

// serverLoad counts the recent attempts at one server, and those that were rejected
// or late.
type serverLoad struct{ sent, overloaded float64 }

// Counter counts the loads of a node between two reports.
type Counter struct {
	lock    sync.Mutex
	loads   map[loadKey]*Load
	servers map[string]map[string]*serverLoad
}

const (
	// serverDecay is the factor applied to a server's counts at each report.
	serverDecay = 0.8
	// minServerCount is the count below which a server is removed.
	minServerCount = 0.05
	// overloadedThreshold is the share of rejected or late attempts above which a
	// server counts as overloaded.
	overloadedThreshold = 0.1
)

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{loads: map[loadKey]*Load{}, servers: map[string]map[string]*serverLoad{}}
}

func (c *Counter) load(service string, tier Tier) *Load {
	load := c.loads[loadKey{service, tier}]
	if load == nil {
		load = &Load{Service: service, Tier: tier}
		c.loads[loadKey{service, tier}] = load
	}
	return load
}

// CountRequest counts a request that arrived, and whether a cutoff rejected it.
func (c *Counter) CountRequest(service string, tier Tier, keyed, shed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	load := c.load(service, tier)
	load.Offered, load.Keyed = load.Offered+1, keyed
	if shed {
		load.Shed++
	}
}

// CountShed counts a request as rejected that CountRequest counted as admitted.
func (c *Counter) CountShed(service string, tier Tier) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.load(service, tier).Shed++
}

// CountAttempt counts a finished attempt at a server.
func (c *Counter) CountAttempt(service string, tier Tier, server string, outcome Outcome) {
	c.lock.Lock()
	defer c.lock.Unlock()
	load := c.load(service, tier)
	load.Sent++
	switch outcome {
	case Late:
		load.Late++
	case Rejected:
		load.Rejected++
	}
	if c.servers[service] == nil {
		c.servers[service] = map[string]*serverLoad{}
	}
	counts := c.servers[service][server]
	if counts == nil {
		counts = &serverLoad{}
		c.servers[service][server] = counts
	}
	if counts.sent++; outcome != InTime {
		counts.overloaded++
	}
}

// Take returns the counts since the last call and resets them. overloaded reports
// whether any request was rejected or any attempt was rejected or late.
func (c *Counter) Take() (loads []Load, overloaded bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, load := range c.loads {
		loads = append(loads, *load)
		overloaded = overloaded || load.Rejected+load.Late+load.Shed > 0
	}
	clear(c.loads)
	for _, servers := range c.servers {
		for id, counts := range servers {
			counts.sent, counts.overloaded = counts.sent*serverDecay, counts.overloaded*serverDecay
			if counts.sent < minServerCount {
				delete(servers, id)
			}
		}
	}
	return loads, overloaded
}

// OverloadedShare returns the share of overloaded servers among those of the service
// that this node used recently.
func (c *Counter) OverloadedShare(service string) float64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	overloaded := 0
	for _, counts := range c.servers[service] {
		if counts.overloaded > overloadedThreshold*counts.sent {
			overloaded++
		}
	}
	return float64(overloaded) / float64(max(1, len(c.servers[service])))
}

// Sum adds the loads of b to those of the same service and tier in a.
func Sum(a, b []Load) []Load {
	for _, load := range b {
		found := false
		for i := range a {
			if found = a[i].Service == load.Service && a[i].Tier == load.Tier; found {
				a[i].Offered, a[i].Shed, a[i].Sent = a[i].Offered+load.Offered, a[i].Shed+load.Shed, a[i].Sent+load.Sent
				a[i].Rejected, a[i].Late = a[i].Rejected+load.Rejected, a[i].Late+load.Late
				a[i].Keyed = a[i].Keyed || load.Keyed
				break
			}
		}
		if !found {
			a = append(a, load)
		}
	}
	return a
}
