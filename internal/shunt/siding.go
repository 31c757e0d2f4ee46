package shunt

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ploverhitch/internal/coupling"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

// Siding is one server as this node knows it from its own inquiries. Its
// figures are atomics: the path of an inquiry takes no lock here.
type Siding struct {
	feed.Server
	Rack *coupling.Rack

	atWork atomic.Int64
	// pace is the smoothed span of a reply in nanoseconds.
	pace atomic.Int64
	// shy is until when the server is passed over if there is another.
	shy   atomic.Int64
	fails atomic.Int64
	// isGone: another server has the address.
	isGone atomic.Bool
}

const (
	paceWeight  = 0.2
	firstPace   = 30 * time.Millisecond
	shyFirst    = 250 * time.Millisecond
	shyLongest  = 4 * time.Second
	shyFull     = 60 * time.Millisecond
	warmingCost = 1.0
)

func newSiding(server feed.Server) *Siding {
	return &Siding{Server: server, Rack: &coupling.Rack{Address: server.Address, Instance: server.ID}}
}

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
)

// End notes how the inquiry ended and how long it took.
//
// Example:
//
//	siding.End(shunt.Served, took, clock.Steady())
func (s *Siding) End(outcome Outcome, took time.Duration, now timetable.Steady) {
	s.atWork.Add(-1)
	switch outcome {
	case Served:
		s.fails.Store(0)
		pace := float64(s.pace.Load())
		if pace == 0 {
			pace = float64(took)
		}
		s.pace.Store(int64(pace + paceWeight*(float64(took)-pace)))
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

// cost is the expected delay of one more inquiry, in nanoseconds.
func (s *Siding) cost(now timetable.Steady, wall time.Time, cell string, crossing time.Duration) float64 {
	pace := float64(s.pace.Load())
	if pace == 0 {
		pace = float64(firstPace)
	}
	load := float64(s.atWork.Load()) / float64(max(1, s.Capacity))
	cost := pace * (1 + load)
	if s.WarmLeft(wall) > 0 {
		cost += pace * warmingCost
	}
	if s.Cell != cell {
		cost += float64(crossing)
	}
	if int64(now) < s.shy.Load() {
		cost += float64(time.Hour)
	}
	return cost
}

// Yard is the servers of every service; it never changes once made.
type Yard struct {
	services map[string][]*Siding
	byID     map[string]*Siding
}

// Lay makes the yard of a fleet, keeping the sidings of servers that stay.
//
// Example:
//
//	yard = yard.Lay(fleet)
func (y *Yard) Lay(fleet feed.Fleet) *Yard {
	next := &Yard{services: map[string][]*Siding{}, byID: map[string]*Siding{}}
	for _, server := range fleet.Servers {
		var siding *Siding
		if y != nil {
			siding = y.byID[server.ID]
		}
		switch {
		case siding == nil:
			siding = newSiding(server)
		case siding.Server != server:
			siding = siding.with(server)
		}
		next.byID[server.ID] = siding
		if server.IsReady {
			next.services[server.Service] = append(next.services[server.Service], siding)
		}
	}
	if y != nil {
		for id, siding := range y.byID {
			if next.byID[id] == nil {
				siding.Rack.Close()
			}
		}
	}
	return next
}

// with is the siding under the list's new words for the same server.
func (s *Siding) with(server feed.Server) *Siding {
	next := &Siding{Server: server, Rack: s.Rack}
	next.pace.Store(s.pace.Load())
	next.shy.Store(s.shy.Load())
	next.fails.Store(s.fails.Load())
	next.isGone.Store(s.isGone.Load())
	return next
}

// Ready is how many servers of the service may be chosen.
//
// Example:
//
//	if yard.Ready(service) == 0 { refuse() }
func (y *Yard) Ready(service string) int { return len(y.services[service]) }

// Size is how many servers are listed.
//
// Example:
//
//	isKnown := yard.Size() > 0
func (y *Yard) Size() int { return len(y.byID) }

// Wish is what a choice has to heed.
type Wish struct {
	Service string
	Cell    string
	// Crossing is what it costs, as delay, to leave the cell.
	Crossing time.Duration
	// Passed are the servers that had the inquiry already.
	Passed []*Siding
}

const samples = 4

// Choose takes the least expected delay of a few servers drawn by lot, or nil
// if the service has none left.
//
// Example:
//
//	siding := yard.Choose(shunt.Wish{Service: "paadam", Cell: cell}, clock)
func (y *Yard) Choose(wish Wish, clock timetable.Clock) *Siding {
	list := y.services[wish.Service]
	if len(list) == 0 {
		return nil
	}
	now, wall := clock.Steady(), clock.Wall()
	var best *Siding
	least, drawn := math.Inf(1), 0
	start, step := rand.IntN(len(list)), stride(len(list))
	for i := 0; i < len(list) && drawn < samples; i++ {
		siding := list[(start+i*step)%len(list)]
		if siding.isGone.Load() || wasPassed(wish.Passed, siding) {
			continue
		}
		cost := siding.cost(now, wall, wish.Cell, wish.Crossing)
		if cost < float64(time.Minute) {
			drawn++
		}
		if cost < least {
			best, least = siding, cost
		}
	}
	return best
}

// stride is a step that visits every place of a list of the size once.
func stride(size int) int {
	for {
		step := 1 + rand.IntN(size)
		a, z := step, size
		for z != 0 {
			a, z = z, a%z
		}
		if a == 1 {
			return step
		}
	}
}

func wasPassed(passed []*Siding, siding *Siding) bool {
	for _, one := range passed {
		if one.ID == siding.ID {
			return true
		}
	}
	return false
}
