package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/clock"
)

// Criteria describe which server a request needs.
type Criteria struct {
	Service string
	// ZoneCost is the cost of leaving the local zone, as a delay.
	ZoneCost time.Duration
	// UsualLatency is the usual latency of the route's responses.
	UsualLatency time.Duration
	// Tried are the servers that the request was already sent to.
	Tried []*Endpoint
	// MaxInFlight limits this node's concurrent requests to one server. 0 means no
	// limit.
	MaxInFlight int
	// Position is the operation's position on the ring if HasPosition is set.
	Position    RingPosition
	HasPosition bool
	// Allowed, if set, reports whether a server may be chosen at all.
	Allowed func(*Endpoint) bool
	// Canary requests a server of the canary version.
	Canary bool
}

const (
	// localSamples and remoteSamples are the numbers of servers sampled from the local
	// zone and from the other zones. They are small because load information is always
	// slightly out of date: with many candidates, all nodes would choose the same
	// server.
	localSamples  = 2
	remoteSamples = 1
	// homeCostFactor and homeCostMargin bound how far the home server's cost may exceed
	// the lowest cost before another server is preferred.
	homeCostFactor = 1.25
	homeCostMargin = 2 * time.Millisecond
	// maxRingSteps limits how many servers along the ring are considered in search of
	// servers of the local zone.
	maxRingSteps = 24
)

// selection is the state of one choice of a server.
type selection struct {
	criteria                Criteria
	zone                    string
	now                     clock.Instant
	wallTime                time.Time
	best, first             *Endpoint
	bestCost                float64
	firstCost               float64
	localCount, remoteCount int
}

// consider evaluates one server. A server that is not currently avoided counts as a
// candidate of its zone.
func (c *selection) consider(endpoint *Endpoint) {
	full := c.criteria.MaxInFlight > 0 && endpoint.inFlight.Load() >= int64(c.criteria.MaxInFlight)
	if full || endpoint.misdirected.Load() || endpoint.Leaving() || alreadyTried(c.criteria.Tried, endpoint) || c.criteria.Allowed != nil && !c.criteria.Allowed(endpoint) {
		return
	}
	cost := endpoint.cost(c.now, c.wallTime, c.zone, c.criteria)
	if c.first == nil {
		c.first, c.firstCost = endpoint, cost
	}
	if cost < c.bestCost {
		c.best, c.bestCost = endpoint, cost
	}
	switch {
	case cost >= float64(time.Minute):
	case endpoint.Zone == c.zone:
		c.localCount++
	default:
		c.remoteCount++
	}
}

// Choose returns the server with the lowest expected delay among a few candidates, or
// nil if no server of the service may take another request. The candidates are a random
// sample of the node's subset, or, for an operation with a ring position, its home
// server and the servers that follow on the ring. The home server is kept unless it is
// clearly worse.
func (s *ServerSet) Choose(criteria Criteria, clock clock.Clock) *Endpoint {
	c := &selection{criteria: criteria, zone: s.locality.Zone, now: clock.Monotonic(), wallTime: clock.Wall(), bestCost: math.Inf(1)}
	service := s.service(criteria.Service)
	if criteria.Canary {
		service = s.service(canaryName(criteria.Service))
	}
	if criteria.HasPosition {
		stepsLeft := maxRingSteps
		service.ring.walk(criteria.Position, func(endpoint *Endpoint) bool {
			c.consider(endpoint)
			stepsLeft--
			enough := c.localCount+c.remoteCount >= localSamples+remoteSamples && c.localCount > 0
			return !enough && (stepsLeft > 0 || c.best == nil)
		})
		if c.localCount+c.remoteCount > 0 && c.firstCost <= c.bestCost*homeCostFactor+float64(homeCostMargin) {
			return c.first
		}
		return c.bestOrAny(service)
	}
	visitRandomly(service.local, func(endpoint *Endpoint) bool { c.consider(endpoint); return c.localCount < localSamples })
	visitRandomly(service.remote, func(endpoint *Endpoint) bool { c.consider(endpoint); return c.remoteCount < remoteSamples })
	return c.bestOrAny(service)
}

// bestOrAny returns the best server found. If the node's subset has no candidate, the
// other servers of the service are considered too.
func (c *selection) bestOrAny(service *serviceEndpoints) *Endpoint {
	if c.localCount+c.remoteCount == 0 {
		visitRandomly(service.all, func(endpoint *Endpoint) bool { c.consider(endpoint); return c.localCount+c.remoteCount == 0 })
	}
	return c.best
}

// visitRandomly visits the endpoints in a random order until visit returns false.
func visitRandomly(endpoints []*Endpoint, visit func(*Endpoint) bool) {
	if len(endpoints) == 0 {
		return
	}
	start, step := rand.IntN(len(endpoints)), randomStride(len(endpoints))
	for i := range endpoints {
		if !visit(endpoints[(start+i*step)%len(endpoints)]) {
			return
		}
	}
}

// randomStride returns a random step width that visits every index of a list of the
// given size exactly once.
func randomStride(size int) int {
	for {
		step := 1 + rand.IntN(size)
		a, b := step, size
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return step
		}
	}
}

func alreadyTried(tried []*Endpoint, endpoint *Endpoint) bool {
	for _, other := range tried {
		if other.ID == endpoint.ID {
			return true
		}
	}
	return false
}
