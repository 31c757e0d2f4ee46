package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/timetable"
)

// Wish is what a choice has to heed.
type Criteria struct {
	Service string
	// Crossing is what it costs, as delay, to leave the cell.
	ZoneCost time.Duration
	// Usual is how long the lane's replies usually take.
	UsualLatency time.Duration
	// Passed are the servers that had the inquiry already.
	Tried []*Endpoint
	// Limit is how many inquiries of this node one server may hold, if not 0.
	MaxInFlight int
	// Place is the operation's place on the ring, if IsPlaced.
	Position    RingPosition
	HasPosition bool
	// Allows, if set, tells whether a server may be taken at all.
	Allowed func(*Endpoint) bool
	// IsTrial asks for the version on trial.
	Canary bool
}

const (
	// nearSamples and farSamples are how many servers are drawn from the own
	// cell and from the others.
	// Few: what is known of a server's load is never quite new, and with many to
	// choose from all would run to the same.
	localSamples  = 2
	remoteSamples = 1
	// homeFavor is how much dearer than the best the home may be.
	homeCostFactor = 1.25
	homeCostMargin = 2 * time.Millisecond
	// walkLimit is how far along the ring servers of the own cell are sought.
	maxRingSteps = 24
)

// choice is one choice on its way.
type selection struct {
	criteria                Criteria
	zone                    string
	now                     timetable.Steady
	wallTime                time.Time
	best, first             *Endpoint
	bestCost                float64
	firstCost               float64
	localCount, remoteCount int
}

// look weighs one server; it is counted if it could well be taken.
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
	case endpoint.Cell == c.zone:
		c.localCount++
	default:
		c.remoteCount++
	}
}

// Choose takes the least expected delay of a few servers, or nil if the service
// has none left that may take one more. The few are drawn by lot from those that
// the node keeps to, or, for a placed operation, are its home on the ring and
// those that follow; the home is kept while it is not clearly worse.
//
// Example:
//
//	siding := yard.Choose(balancer.Wish{Service: "paadam"}, clock)
func (s *ServerSet) Choose(criteria Criteria, clock timetable.Clock) *Endpoint {
	c := &selection{criteria: criteria, zone: s.locality.Zone, now: clock.Steady(), wallTime: clock.Wall(), bestCost: math.Inf(1)}
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

// orAny is the best that was found; where none of those that the node keeps to could
// well be taken, any other server of the service is looked at too.
func (c *selection) bestOrAny(service *serviceEndpoints) *Endpoint {
	if c.localCount+c.remoteCount == 0 {
		visitRandomly(service.all, func(endpoint *Endpoint) bool { c.consider(endpoint); return c.localCount+c.remoteCount == 0 })
	}
	return c.best
}

// draw visits the list in an order by lot, until visit says no.
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

// stride is a step that visits every place of a list of the size once.
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
