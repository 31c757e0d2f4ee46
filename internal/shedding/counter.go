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
	Turned
)

type cell struct {
	service string
	tier    Tier
}

// strain is what one server showed lately.
type strain struct{ sent, bad float64 }

// Counter counts a node's loads between two tellings.
type Counter struct {
	lock    sync.Mutex
	rows    map[cell]*Load
	servers map[string]map[string]*strain
}

const (
	// serverFade is what is left of a server's counts at each telling.
	serverFade = 0.8
	// serverLeast is the count under which a server is forgotten.
	serverLeast = 0.05
	// strainedPart is the part of its tries above which a server is strained.
	strainedPart = 0.1
)

// NewCounter makes an empty counter.
//
// Example:
//
//	counter := shedding.NewCounter()
func NewCounter() *Counter {
	return &Counter{rows: map[cell]*Load{}, servers: map[string]map[string]*strain{}}
}

func (c *Counter) row(service string, tier Tier) *Load {
	row := c.rows[cell{service, tier}]
	if row == nil {
		row = &Load{Service: service, Tier: tier}
		c.rows[cell{service, tier}] = row
	}
	return row
}

// Offer counts an inquiry that came in, and whether a cutoff turned it away.
//
// Example:
//
//	counter.Offer("fees", tier, isKeyed, isShed)
func (c *Counter) Offer(service string, tier Tier, isKeyed, isShed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	row := c.row(service, tier)
	row.Offered, row.IsKeyed = row.Offered+1, isKeyed
	if isShed {
		row.Shed++
	}
}

// Shed counts an inquiry that had been offered and was turned away after all.
//
// Example:
//
//	counter.Shed("fees", tier)
func (c *Counter) Shed(service string, tier Tier) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.row(service, tier).Shed++
}

// Try counts the end of a try at a server.
//
// Example:
//
//	counter.Try("fees", tier, "i-7f3a91c2", shedding.Turned)
func (c *Counter) Try(service string, tier Tier, server string, outcome Outcome) {
	c.lock.Lock()
	defer c.lock.Unlock()
	row := c.row(service, tier)
	row.Sent++
	switch outcome {
	case Late:
		row.Late++
	case Turned:
		row.Turned++
	}
	if c.servers[service] == nil {
		c.servers[service] = map[string]*strain{}
	}
	one := c.servers[service][server]
	if one == nil {
		one = &strain{}
		c.servers[service][server] = one
	}
	if one.sent++; outcome != InTime {
		one.bad++
	}
}

// Take is what was counted since the last taking, and whether any of it shows a
// strain.
//
// Example:
//
//	loads, isStrained := counter.Take()
func (c *Counter) Take() (loads []Load, isStrained bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, row := range c.rows {
		loads = append(loads, *row)
		isStrained = isStrained || row.Turned+row.Late+row.Shed > 0
	}
	clear(c.rows)
	for _, servers := range c.servers {
		for id, one := range servers {
			one.sent, one.bad = one.sent*serverFade, one.bad*serverFade
			if one.sent < serverLeast {
				delete(servers, id)
			}
		}
	}
	return loads, isStrained
}

// Strained is the part of a service's servers, of those that this node met lately,
// that turned inquiries away or were late.
//
// Example:
//
//	isChanged := floor.Decide(counter.Strained)
func (c *Counter) Strained(service string) float64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	bad := 0
	for _, one := range c.servers[service] {
		if one.bad > strainedPart*one.sent {
			bad++
		}
	}
	return float64(bad) / float64(max(1, len(c.servers[service])))
}

// Sum adds loads of the same service and tier together.
//
// Example:
//
//	pending = shedding.Sum(pending, loads)
func Sum(a, z []Load) []Load {
	for _, more := range z {
		isThere := false
		for i := range a {
			if isThere = a[i].Service == more.Service && a[i].Tier == more.Tier; isThere {
				a[i].Offered, a[i].Shed, a[i].Sent = a[i].Offered+more.Offered, a[i].Shed+more.Shed, a[i].Sent+more.Sent
				a[i].Turned, a[i].Late = a[i].Turned+more.Turned, a[i].Late+more.Late
				a[i].IsKeyed = a[i].IsKeyed || more.IsKeyed
				break
			}
		}
		if !isThere {
			a = append(a, more)
		}
	}
	return a
}
