package balancer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/upstream"
)

// Endpoint is a server with the state that this node observed from its own requests.
// The state is atomic: requests take no lock here.
type Endpoint struct {
	feed.Server
	*endpointState
}

// endpointState is what the node observed of a server. It survives changes of the
// server's listing.
type endpointState struct {
	Pool *upstream.Pool

	inFlight atomic.Int64
	// latencyRatio is the smoothed ratio of the server's latency to the route's usual
	// latency, in thousandths, and latencySamples the number of responses it is based
	// on.
	latencyRatio, latencySamples atomic.Int64
	// fleetLatencyRatio is the latency ratio that all proxies observed, in eighths, and
	// ejected is set while the fleet state ejects the server as an outlier. Both change
	// often without any other change of the server's listing.
	fleetLatencyRatio atomic.Int64
	ejected           atomic.Bool
	// avoidUntil is the time until which other servers are preferred.
	avoidUntil atomic.Int64
	failures   atomic.Int64
	// misdirected is set once another server answered at the address.
	misdirected atomic.Bool
	// leaving is set once the server is known to be leaving, regardless of the fleet
	// state. It is never cleared.
	leaving atomic.Bool
}

const (
	latencyWeight   = 0.2
	minUsualLatency = 5 * time.Millisecond
	// fleetLatencyWeight is the weight of the fleet's latency ratio, in responses that
	// the node observed itself; at most maxOwnWeight of the latter count.
	fleetLatencyWeight = 3.0
	maxOwnWeight       = 4
	minFailureBackoff  = 250 * time.Millisecond
	maxFailureBackoff  = 4 * time.Second
	overloadBackoff    = 60 * time.Millisecond
	warmingPenalty     = 1.0
	// ejectedProbeInterval: one in so many choices ignores that a server is ejected.
	ejectedProbeInterval = 40
)

func newEndpoint(server feed.Server) *Endpoint {
	e := &Endpoint{Server: server, endpointState: &endpointState{Pool: &upstream.Pool{Address: server.Address, Instance: server.ID}}}
	e.updateHealth(server)
	return e
}

// updateHealth applies the parts of the listing that may change without a new Endpoint.
func (e *Endpoint) updateHealth(server feed.Server) {
	e.fleetLatencyRatio.Store(int64(server.RelativeLatency))
	e.ejected.Store(server.Ejected)
}

// sameListing reports whether the listing is unchanged except for what updateHealth
// applies.
func (e *Endpoint) sameListing(server feed.Server) bool {
	server.RelativeLatency, server.Ejected = e.RelativeLatency, e.Ejected
	return e.Server == server
}

// Leaving reports whether the server was reported to be leaving.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Begin counts a request as in flight.
func (e *Endpoint) Begin() { e.inFlight.Add(1) }

// Outcome is the outcome of an attempt at a server.
type Outcome uint8

// The outcomes of an attempt.
const (
	Served Outcome = iota
	Overloaded
	Misdirected
	Failed
	// Inconclusive: the attempt says nothing about the server, for example because the
	// time to send had passed.
	Inconclusive
)

// End records the outcome and the latency of an attempt; usual is the usual latency of
// the route's responses, or 0 if unknown.
func (e *Endpoint) End(outcome Outcome, latency, usual time.Duration, now clock.Instant) {
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

// combinedLatencyRatio returns the ratio of the server's latency to the usual latency,
// as a weighted mean of the fleet's and the node's own observations.
func (e *Endpoint) combinedLatencyRatio() float64 {
	ownWeight := float64(min(e.latencySamples.Load(), maxOwnWeight))
	fleetRatio := 1.0
	if eighths := e.fleetLatencyRatio.Load(); eighths > 0 {
		fleetRatio = float64(eighths) / 8
	}
	return (fleetRatio*fleetLatencyWeight + ownWeight*float64(e.latencyRatio.Load())/1000) / (fleetLatencyWeight + ownWeight)
}

// cost returns the expected delay of one more request, in nanoseconds. An avoided or
// ejected server costs an hour more.
func (e *Endpoint) cost(now clock.Instant, wallTime time.Time, zone string, criteria Criteria) float64 {
	latency := e.combinedLatencyRatio() * float64(max(criteria.UsualLatency, minUsualLatency))
	cost := latency * (1 + float64(e.inFlight.Load())/float64(max(1, e.Capacity)))
	if e.WarmupRemaining(wallTime) > 0 {
		cost += latency * warmingPenalty
	}
	if e.Zone != zone {
		cost += float64(criteria.ZoneCost)
	}
	ejected := e.ejected.Load()
	if int64(now) < e.avoidUntil.Load() || ejected && rand.IntN(ejectedProbeInterval) > 0 {
		cost += float64(time.Hour)
	}
	return cost
}

// withListing returns an endpoint with a new listing that shares the state of e.
func (e *Endpoint) withListing(server feed.Server) *Endpoint {
	return &Endpoint{Server: server, endpointState: e.endpointState}
}
