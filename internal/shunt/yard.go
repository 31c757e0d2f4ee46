package shunt

import (
	"math"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

// Yard is the servers of every service; it never changes once made.
type Yard struct {
	services map[string][]*Siding
	rings    map[string]ring
	byID     map[string]*Siding
}

// Lay makes the yard of a fleet, keeping the sidings of servers that stay.
//
// Example:
//
//	yard = yard.Lay(fleet)
func (y *Yard) Lay(fleet feed.Fleet) *Yard {
	next := &Yard{services: map[string][]*Siding{}, rings: map[string]ring{}, byID: map[string]*Siding{}}
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
	for service, list := range next.services {
		next.rings[service] = newRing(list)
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
	// Limit is how many inquiries of this node one server may hold, if not 0.
	Limit int
	// Place is the operation's place on the ring, if IsPlaced.
	Place    Place
	IsPlaced bool
}

const (
	samples = 4
	// homeFavor is how much dearer than the best the home may be.
	homeFavor = 1.25
	homeSlack = 2 * time.Millisecond
)

// Choose takes the least expected delay of a few servers, or nil if the service
// has none left that may take one more. The few are drawn by lot, or, for a
// placed operation, are its home on the ring and those that follow; the home is
// kept while it is not clearly worse.
//
// Example:
//
//	siding := yard.Choose(shunt.Wish{Service: "paadam", Cell: cell}, clock)
func (y *Yard) Choose(wish Wish, clock timetable.Clock) *Siding {
	now, wall := clock.Steady(), clock.Wall()
	var best, home *Siding
	least, homeCost, drawn := math.Inf(1), 0.0, 0
	look := func(siding *Siding) bool {
		isFull := wish.Limit > 0 && siding.atWork.Load() >= int64(wish.Limit)
		if isFull || siding.isGone.Load() || wasPassed(wish.Passed, siding) {
			return true
		}
		cost := siding.cost(now, wall, wish.Cell, wish.Crossing)
		if home == nil {
			home, homeCost = siding, cost
		}
		if cost < least {
			best, least = siding, cost
		}
		if cost < float64(time.Minute) {
			drawn++
		}
		return drawn < samples
	}
	if wish.IsPlaced {
		y.rings[wish.Service].walk(wish.Place, look)
		if home != nil && homeCost <= least*homeFavor+float64(homeSlack) {
			return home
		}
		return best
	}
	list := y.services[wish.Service]
	if len(list) == 0 {
		return nil
	}
	start, step := rand.IntN(len(list)), stride(len(list))
	for i := range list {
		if !look(list[(start+i*step)%len(list)]) {
			break
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
