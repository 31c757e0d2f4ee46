package shedding

import (
	"sync"
)

// Outcome is what a try showed of the service's load.
type Outcome uint8

// The outcomes of a try.
const (
	InTime Outcome = iota
	// Late: the reply took far longer than usual, and than the lane's aim.
	Late
	// Turned: the server was full.
	Rejected
)

type loadKey struct {
	service string
	tier    Tier
}

// strain is what one server showed lately.
type serverLoad struct{ sent, overloaded float64 }

// Counter counts a node's loads between two tellings.
type Counter struct {
	lock    sync.Mutex
	loads   map[loadKey]*Load
	servers map[string]map[string]*serverLoad
}

const (
	// serverFade is what is left of a server's counts at each telling.
	serverDecay = 0.8
	// serverLeast is the count under which a server is forgotten.
	minServerCount = 0.05
	// strainedPart is the part of its tries above which a server is strained.
	overloadedThreshold = 0.1
)

// NewCounter makes an empty counter.
//
// Example:
//
//	counter := shedding.NewCounter()
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

// Offer counts an inquiry that came in, and whether a cutoff turned it away.
//
// Example:
//
//	counter.Offer("fees", tier, isKeyed, isShed)
func (c *Counter) CountRequest(service string, tier Tier, keyed, shed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	load := c.load(service, tier)
	load.Offered, load.Keyed = load.Offered+1, keyed
	if shed {
		load.Shed++
	}
}

// Shed counts an inquiry that had been offered and was turned away after all.
//
// Example:
//
//	counter.Shed("fees", tier)
func (c *Counter) CountShed(service string, tier Tier) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.load(service, tier).Shed++
}

// Try counts the end of a try at a server.
//
// Example:
//
//	counter.Try("fees", tier, "i-7f3a91c2", shedding.Turned)
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

// Take is what was counted since the last taking, and whether any of it shows a
// strain.
//
// Example:
//
//	loads, isStrained := counter.Take()
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

// Strained is the part of a service's servers, of those that this node met lately,
// that turned inquiries away or were late.
//
// Example:
//
//	isChanged := floor.Decide(counter.Strained)
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

// Sum adds loads of the same service and tier together.
//
// Example:
//
//	pending = shedding.Sum(pending, loads)
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
