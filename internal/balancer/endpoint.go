package balancer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

// Siding is one server as this node knows it from its own inquiries. Its
// figures are atomics: the path of an inquiry takes no lock here.
type Endpoint struct {
	feed.Server
	*endpointState
}

// learnt is what the node learnt of a server, whatever the list says of it.
type endpointState struct {
	Pool *upstream.Pool

	inFlight atomic.Int64
	// pace is how long its replies take here beside the lane's usual, smoothed,
	// in thousandths; paced how many showed it.
	latencyRatio, latencySamples atomic.Int64
	// told is the pace that all proxies saw, in eighths, and isAside that they
	// found the server ill: both change often, and nothing else with them.
	fleetLatencyRatio atomic.Int64
	ejected           atomic.Bool
	// shy is until when the server is passed over if there is another.
	avoidUntil atomic.Int64
	failures   atomic.Int64
	// isGone: another server has the address.
	misdirected atomic.Bool
	// isLeaving: the server is known to leave, whatever the fleet says. It never
	// becomes ready again.
	leaving atomic.Bool
}

const (
	latencyWeight   = 0.2
	minUsualLatency = 5 * time.Millisecond
	// sharedWeight is how many of its own replies weigh as much to a proxy as
	// what all saw; ownMost is how many count.
	fleetLatencyWeight = 3.0
	maxOwnWeight       = 4
	minFailureBackoff  = 250 * time.Millisecond
	maxFailureBackoff  = 4 * time.Second
	overloadBackoff    = 60 * time.Millisecond
	warmingPenalty     = 1.0
	// trickle: of so many choices that meet a server set aside, one heeds it.
	ejectedProbeInterval = 40
)

func newEndpoint(server feed.Server) *Endpoint {
	e := &Endpoint{Server: server, endpointState: &endpointState{Pool: &upstream.Pool{Address: server.Address, Instance: server.ID}}}
	e.updateHealth(server)
	return e
}

// hear takes what the news say of the server that is no part of its identity.
func (e *Endpoint) updateHealth(server feed.Server) {
	e.fleetLatencyRatio.Store(int64(server.Pace))
	e.ejected.Store(server.IsAside)
}

// isSame tells whether the list says the same of the server but for what hear
// takes.
func (e *Endpoint) sameListing(server feed.Server) bool {
	server.Pace, server.IsAside = e.Pace, e.IsAside
	return e.Server == server
}

// IsLeaving tells whether the server was reported to leave.
//
// Example:
//
//	if siding.IsLeaving() { chooseAnother() }
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Begin notes that an inquiry is on its way to the server.
//
// Example:
//
//	siding.Begin()
func (e *Endpoint) Begin() { e.inFlight.Add(1) }

// Outcome is what a delivery showed of the server.
type Outcome uint8

// The outcomes of a delivery.
const (
	Served Outcome = iota
	Overloaded
	Misdirected
	Failed
	// Unasked: the time to send had passed; it says nothing of the server.
	NotSent
)

// End notes how the inquiry ended, how long it took, and how long the lane's
// replies usually take.
//
// Example:
//
//	siding.End(balancer.Served, took, usual, clock.Steady())
func (e *Endpoint) End(outcome Outcome, latency, usual time.Duration, now timetable.Steady) {
	e.inFlight.Add(-1)
	switch outcome {
	case Served:
		e.failures.Store(0)
		if usual > 0 {
			now, count := 1000*float64(latency)/float64(usual), e.latencySamples.Add(1)
			weight := max(latencyWeight, 1/float64(count))
			e.latencyRatio.Store(int64(float64(e.latencyRatio.Load()) + weight*(now-float64(e.latencyRatio.Load()))))
		}
	case Overloaded:
		e.avoidUntil.Store(int64(now) + int64(overloadBackoff))
	case Misdirected:
		e.misdirected.Store(true)
	case Failed:
		failures := e.failures.Add(1)
		backoff := min(maxFailureBackoff, minFailureBackoff<<min(failures-1, 5))
		e.avoidUntil.Store(int64(now) + int64(backoff))
	}
}

// beside is how long the server's replies take beside the usual: what all the
// proxies saw, and what this one saw itself.
func (e *Endpoint) combinedLatencyRatio() float64 {
	ownWeight := float64(min(e.latencySamples.Load(), maxOwnWeight))
	fleetRatio := 1.0
	if eighths := e.fleetLatencyRatio.Load(); eighths > 0 {
		fleetRatio = float64(eighths) / 8
	}
	return (fleetRatio*fleetLatencyWeight + ownWeight*float64(e.latencyRatio.Load())/1000) / (fleetLatencyWeight + ownWeight)
}

// cost is the expected delay of one more inquiry, in nanoseconds.
func (e *Endpoint) cost(now timetable.Steady, wallTime time.Time, zone string, criteria Criteria) float64 {
	latency := e.combinedLatencyRatio() * float64(max(criteria.UsualLatency, minUsualLatency))
	cost := latency * (1 + float64(e.inFlight.Load())/float64(max(1, e.Capacity)))
	if e.WarmLeft(wallTime) > 0 {
		cost += latency * warmingPenalty
	}
	if e.Cell != zone {
		cost += float64(criteria.ZoneCost)
	}
	ejected := e.ejected.Load()
	if int64(now) < e.avoidUntil.Load() || ejected && rand.IntN(ejectedProbeInterval) > 0 {
		cost += float64(time.Hour)
	}
	return cost
}

// with is the siding under the list's new words for the same server.
func (e *Endpoint) withListing(server feed.Server) *Endpoint {
	return &Endpoint{Server: server, endpointState: e.endpointState}
}
