package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/clock"
)

// Wish is what a choice has to heed.
type Wish struct {
	Service string
	// Crossing is what it costs, as delay, to leave the cell.
	Crossing time.Duration
	// Usual is how long the lane's replies usually take.
	Usual time.Duration
	// Passed are the servers that had the inquiry already.
	Passed []*Siding
	// Limit is how many inquiries of this node one server may hold, if not 0.
	Limit int
	// Place is the operation's place on the ring, if IsPlaced.
	Place    Place
	IsPlaced bool
	// Allows, if set, tells whether a server may be taken at all.
	Allows func(*Siding) bool
	// IsTrial asks for the version on trial.
	IsTrial bool
}

const (
	// nearSamples and farSamples are how many servers are drawn from the own
	// cell and from the others.
	// Few: what is known of a server's load is never quite new, and with many to
	// choose from all would run to the same.
	nearSamples = 2
	farSamples  = 1
	// homeFavor is how much dearer than the best the home may be.
	homeFavor = 1.25
	homeSlack = 2 * time.Millisecond
	// walkLimit is how far along the ring servers of the own cell are sought.
	walkLimit = 24
)

// choice is one choice on its way.
type choice struct {
	wish        Wish
	cell        string
	now         clock.Instant
	wall        time.Time
	best, first *Siding
	least       float64
	firstCost   float64
	near, far   int
}

// look weighs one server; it is counted if it could well be taken.
func (c *choice) look(siding *Siding) {
	isFull := c.wish.Limit > 0 && siding.atWork.Load() >= int64(c.wish.Limit)
	if isFull || siding.isGone.Load() || siding.IsLeaving() || wasPassed(c.wish.Passed, siding) || c.wish.Allows != nil && !c.wish.Allows(siding) {
		return
	}
	cost := siding.cost(c.now, c.wall, c.cell, c.wish)
	if c.first == nil {
		c.first, c.firstCost = siding, cost
	}
	if cost < c.least {
		c.best, c.least = siding, cost
	}
	switch {
	case cost >= float64(time.Minute):
	case siding.Zone == c.cell:
		c.near++
	default:
		c.far++
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
func (y *Yard) Choose(wish Wish, clock clock.Clock) *Siding {
	c := &choice{wish: wish, cell: y.home.Cell, now: clock.Monotonic(), wall: clock.Wall(), least: math.Inf(1)}
	stand := y.stand(wish.Service)
	if wish.IsTrial {
		stand = y.stand(trialName(wish.Service))
	}
	if wish.IsPlaced {
		left := walkLimit
		stand.ring.walk(wish.Place, func(siding *Siding) bool {
			c.look(siding)
			left--
			isEnough := c.near+c.far >= nearSamples+farSamples && c.near > 0
			return !isEnough && (left > 0 || c.best == nil)
		})
		if c.near+c.far > 0 && c.firstCost <= c.least*homeFavor+float64(homeSlack) {
			return c.first
		}
		return c.orAny(stand)
	}
	draw(stand.near, func(siding *Siding) bool { c.look(siding); return c.near < nearSamples })
	draw(stand.far, func(siding *Siding) bool { c.look(siding); return c.far < farSamples })
	return c.orAny(stand)
}

// orAny is the best that was found; where none of those that the node keeps to could
// well be taken, any other server of the service is looked at too.
func (c *choice) orAny(stand *stand) *Siding {
	if c.near+c.far == 0 {
		draw(stand.list, func(siding *Siding) bool { c.look(siding); return c.near+c.far == 0 })
	}
	return c.best
}

// draw visits the list in an order by lot, until visit says no.
func draw(list []*Siding, visit func(*Siding) bool) {
	if len(list) == 0 {
		return
	}
	start, step := rand.IntN(len(list)), stride(len(list))
	for i := range list {
		if !visit(list[(start+i*step)%len(list)]) {
			return
		}
	}
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
