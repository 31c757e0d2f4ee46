package balancer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/upstream"
)

// Siding is one server as this node knows it from its own inquiries. Its
// figures are atomics: the path of an inquiry takes no lock here.
type Siding struct {
	feed.Server
	*learnt
}

// learnt is what the node learnt of a server, whatever the list says of it.
type learnt struct {
	Rack *upstream.Pool

	atWork atomic.Int64
	// pace is how long its replies take here beside the lane's usual, smoothed,
	// in thousandths; paced how many showed it.
	pace, paced atomic.Int64
	// told is the pace that all proxies saw, in eighths, and isAside that they
	// found the server ill: both change often, and nothing else with them.
	told    atomic.Int64
	isAside atomic.Bool
	// shy is until when the server is passed over if there is another.
	shy   atomic.Int64
	fails atomic.Int64
	// isGone: another server has the address.
	isGone atomic.Bool
	// isLeaving: the server is known to leave, whatever the fleet says. It never
	// becomes ready again.
	isLeaving atomic.Bool
}

const (
	paceWeight = 0.2
	paceLeast  = 5 * time.Millisecond
	// sharedWeight is how many of its own replies weigh as much to a proxy as
	// what all saw; ownMost is how many count.
	sharedWeight = 3.0
	ownMost      = 4
	shyFirst     = 250 * time.Millisecond
	shyLongest   = 4 * time.Second
	shyFull      = 60 * time.Millisecond
	warmingCost  = 1.0
	// trickle: of so many choices that meet a server set aside, one heeds it.
	trickle = 40
)

func newSiding(server feed.Server) *Siding {
	s := &Siding{Server: server, learnt: &learnt{Rack: &upstream.Pool{Address: server.Address, Instance: server.ID}}}
	s.hear(server)
	return s
}

// hear takes what the news say of the server that is no part of its identity.
func (s *Siding) hear(server feed.Server) {
	s.told.Store(int64(server.RelativeLatency))
	s.isAside.Store(server.Ejected)
}

// isSame tells whether the list says the same of the server but for what hear
// takes.
func (s *Siding) isSame(server feed.Server) bool {
	server.RelativeLatency, server.Ejected = s.RelativeLatency, s.Ejected
	return s.Server == server
}

// IsLeaving tells whether the server was reported to leave.
//
// Example:
//
//	if siding.IsLeaving() { chooseAnother() }
func (s *Siding) IsLeaving() bool { return s.isLeaving.Load() }

// Begin notes that an inquiry is on its way to the server.
//
// Example:
//
//	siding.Begin()
func (s *Siding) Begin() { s.atWork.Add(1) }

// Outcome is what a delivery showed of the server.
type Outcome uint8

// The outcomes of a delivery.
const (
	Served Outcome = iota
	Full
	Misdirected
	Failed
	// Unasked: the time to send had passed; it says nothing of the server.
	Unasked
)

// End notes how the inquiry ended, how long it took, and how long the lane's
// replies usually take.
//
// Example:
//
//	siding.End(balancer.Served, took, usual, clock.Monotonic())
func (s *Siding) End(outcome Outcome, took, usual time.Duration, now clock.Instant) {
	s.atWork.Add(-1)
	switch outcome {
	case Served:
		s.fails.Store(0)
		if usual > 0 {
			now, count := 1000*float64(took)/float64(usual), s.paced.Add(1)
			weight := max(paceWeight, 1/float64(count))
			s.pace.Store(int64(float64(s.pace.Load()) + weight*(now-float64(s.pace.Load()))))
		}
	case Full:
		s.shy.Store(int64(now) + int64(shyFull))
	case Misdirected:
		s.isGone.Store(true)
	case Failed:
		fails := s.fails.Add(1)
		wait := min(shyLongest, shyFirst<<min(fails-1, 5))
		s.shy.Store(int64(now) + int64(wait))
	}
}

// beside is how long the server's replies take beside the usual: what all the
// proxies saw, and what this one saw itself.
func (s *Siding) beside() float64 {
	own := float64(min(s.paced.Load(), ownMost))
	shared := 1.0
	if told := s.told.Load(); told > 0 {
		shared = float64(told) / 8
	}
	return (shared*sharedWeight + own*float64(s.pace.Load())/1000) / (sharedWeight + own)
}

// cost is the expected delay of one more inquiry, in nanoseconds.
func (s *Siding) cost(now clock.Instant, wall time.Time, cell string, wish Wish) float64 {
	pace := s.beside() * float64(max(wish.Usual, paceLeast))
	cost := pace * (1 + float64(s.atWork.Load())/float64(max(1, s.Capacity)))
	if s.WarmupRemaining(wall) > 0 {
		cost += pace * warmingCost
	}
	if s.Zone != cell {
		cost += float64(wish.Crossing)
	}
	isAside := s.isAside.Load()
	if int64(now) < s.shy.Load() || isAside && rand.IntN(trickle) > 0 {
		cost += float64(time.Hour)
	}
	return cost
}

// with is the siding under the list's new words for the same server.
func (s *Siding) with(server feed.Server) *Siding {
	return &Siding{Server: server, learnt: s.learnt}
}
