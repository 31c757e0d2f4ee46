package shedding

import (
	"maps"
	"slices"
	"time"

	"ploverhitch/internal/clock"
)

// Load is what one node counted of a service and a tier since it last told.
type Load struct {
	Service string `cbor:"1,keyasint"`
	Tier    Tier   `cbor:"2,keyasint"`
	// Offered came in, Shed of them were turned away by a cutoff.
	Offered uint32 `cbor:"3,keyasint,omitempty"`
	Shed    uint32 `cbor:"4,keyasint,omitempty"`
	// Sent went to servers and were answered; Turned of them were turned away as
	// the server was full; Late of them took far longer than usual and than the
	// lane's aim.
	Sent   uint32 `cbor:"5,keyasint,omitempty"`
	Turned uint32 `cbor:"6,keyasint,omitempty"`
	Late   uint32 `cbor:"7,keyasint,omitempty"`
	// IsKeyed: its inquiries are keyed operations.
	IsKeyed bool `cbor:"8,keyasint,omitempty"`
}

const (
	// window is the span that is judged, in so many steps.
	window = 1500 * time.Millisecond
	steps  = 6
	// raiseRest is the least time between two raisings: so long it takes until a
	// cutoff is everywhere and its effect is seen.
	raiseRest = 2 * time.Second
	// calmFirst is how long the service must be calm before the cutoff is lowered,
	// a third of it lies between two steps; it doubles after each relapse, up to
	// calmLongest.
	calmFirst   = 1500 * time.Millisecond
	calmLongest = 16 * time.Second
	// turnedMost and lateMost are the shares of what was sent above which a
	// service is overloaded, calmMost the share under which it is calm.
	turnedMost = 0.03
	lateMost   = 0.25
	calmMost   = 0.02
	// keyedMost is the share turned away above which keyed tiers are cut too: there,
	// most of what a server does is to refuse.
	keyedMost = 0.5
	// leastSent is how much must have been sent in the window to judge by it.
	leastSent = 20
	// firstMost bounds the first raising, as a share of what was carried, and
	// againMost a further one: while servers turn inquiries of all tiers away, these
	// come back and make the load seem larger than it is.
	firstMost = 0.6
	againMost = 0.2
	// raiseLeast is the least that one raising turns away of what was carried.
	raiseLeast = 0.05
	// carryMore is how much more is carried after one lowering.
	carryMore = 0.15
	// fullPart is the part of what the servers carried while they were full up to
	// which more is let in, until nothing was raised for probeRest.
	fullPart  = 0.92
	probeRest = 20 * time.Second
	// capacityFade is what is left of that measure at the next raising, as servers
	// may have gone.
	capacityFade = 0.9
	// spreadSteps are the steps after a change that are not judged: not every node
	// had heard of it.
	spreadSteps = 2
	// judgedSteps are how many steps after those must have passed.
	judgedSteps = 3
	// widePart is the part of the nodes, and of the servers, that must be strained
	// for an overload of the whole service.
	widePart = 0.5
)

// Gauge sums the loads of one node or of all, and decides on the cutoffs. It has
// one owner.
type Gauge struct {
	clock   clock.Clock
	columns map[string]*column
	step    int64
	number  uint64
	seed    func() uint64
}

// NewGauge makes a gauge with no cutoff; seed gives the seed of each overload.
//
// Example:
//
//	gauge := shedding.NewGauge(clock, rand.Uint64)
func NewGauge(clock clock.Clock, seed func() uint64) *Gauge {
	return &Gauge{clock: clock, columns: map[string]*column{}, seed: seed}
}

// Hold goes on from the cutoffs of an earlier holder.
//
// Example:
//
//	gauge.Hold(fleet.Cutoffs)
func (g *Gauge) Hold(cutoffs []Cutoff) {
	now := g.clock.Monotonic()
	for _, cutoff := range cutoffs {
		c := g.column(cutoff.Service)
		c.cutoff, c.isOn, c.since, c.calmAt = cutoff, true, now, now
		g.number = max(g.number, cutoff.Number)
	}
}

func (g *Gauge) column(service string) *column {
	c := g.columns[service]
	if c == nil {
		c = &column{calm: calmFirst, calmAt: g.clock.Monotonic()}
		g.columns[service] = c
	}
	return c
}

// Hear takes what a node counted.
//
// Example:
//
//	gauge.Hear(report.Node, report.Loads)
func (g *Gauge) Hear(node string, loads []Load) {
	g.turn()
	for _, load := range loads {
		c := g.column(load.Service)
		at := &c.rows[g.step%steps]
		if *at == nil {
			*at = map[string][]Load{}
		}
		(*at)[node] = append((*at)[node], load)
	}
}

// turn moves to the present step of the window, and empties those passed.
func (g *Gauge) turn() {
	now := int64(g.clock.Monotonic() / clock.Instant(window/steps))
	for passed := 0; g.step < now && passed < steps; passed++ {
		g.step++
		for _, c := range g.columns {
			c.rows[g.step%steps] = nil
		}
	}
	g.step = now
}

// Cutoffs are those in force, in the order of their services.
//
// Example:
//
//	fleet.Cutoffs = gauge.Cutoffs()
func (g *Gauge) Cutoffs() (out []Cutoff) {
	for _, service := range slices.Sorted(maps.Keys(g.columns)) {
		if c := g.columns[service]; c.isOn {
			out = append(out, c.cutoff)
		}
	}
	return out
}

// Decide looks at every service, and raises or lowers its cutoff; strained tells
// which part of a service's servers turn inquiries away or are late with them.
//
// Example:
//
//	isChanged := gauge.Decide(court.Strained)
func (g *Gauge) Decide(strained func(service string) float64) (isChanged bool) {
	g.turn()
	now := g.clock.Monotonic()
	for _, service := range slices.Sorted(maps.Keys(g.columns)) {
		c := g.columns[service]
		if g.step-c.changed < spreadSteps+judgedSteps {
			continue
		}
		t := c.sum(g.judged(c), g.step)
		isJudged := t.sent >= leastSent
		isOver := isJudged && (t.turned > turnedMost*t.sent || t.late > lateMost*t.sent)
		isWide := float64(t.strained) >= widePart*float64(max(1, t.nodes))
		switch {
		case isOver && isWide && strained(service) >= widePart:
			c.calmAt = now
			if !c.isOn || time.Duration(now-c.since) >= raiseRest {
				isChanged = g.raise(service, c, t) || isChanged
			}
		case !c.isOn:
		case isJudged && t.turned+t.late > calmMost*t.sent:
			c.calmAt = now
		case time.Duration(now-c.calmAt) >= c.calm && time.Duration(now-c.since) >= c.calm/3:
			isChanged = g.lower(c, t) || isChanged
		}
	}
	return isChanged
}

// raise turns away as much of what is carried as the servers turned away, or half
// as much as they were late with.
func (g *Gauge) raise(service string, c *column, t tally) bool {
	now := g.clock.Monotonic()
	if c.isLowered && time.Duration(now-c.since) < 2*c.calm {
		c.calm = min(2*c.calm, calmLongest)
	}
	flows, most := c.flows(g.judged(c)), againMost
	if !c.isOn {
		c.cutoff, most = Cutoff{Service: service, Seed: g.seed(), Tier: Tier(len(flows))}, firstMost
	}
	// Keyed operations that come late, or that a server turns away now and then, are
	// still better than ones that every node refuses until the cutoff falls.
	mayCutKeyed := t.turned > keyedMost*t.sent
	next := c.above(min(most, max(raiseLeast, t.turned/t.sent, t.late/t.sent/2)), flows, mayCutKeyed)
	if next.Height(len(flows)) <= max(0, c.cutoff.Height(len(flows))) {
		return false
	}
	c.isOn, c.isLowered, c.since, c.raisedAt = true, false, now, now
	// A raising that followed on another saw less than the servers carry.
	c.capacity = max(capacityFade*c.capacity, (t.sent-t.turned)/g.span(c))
	g.put(c, next)
	return true
}

// lower lets some of those in that are turned away.
func (g *Gauge) lower(c *column, t tally) bool {
	now, carried := g.clock.Monotonic(), (t.offered-t.shed)/g.span(c)
	if time.Duration(now-c.raisedAt) < probeRest && carried*(1+carryMore) > fullPart*c.capacity {
		return false
	}
	c.since, c.isLowered = now, true
	next, isNone := c.below(carryMore, c.flows(g.judged(c)))
	if isNone {
		c.isOn = false
		g.number++
		return true
	}
	g.put(c, next)
	return true
}

// judged is the first step by which a service is judged: of those before, some
// nodes had not heard of the cutoff.
func (g *Gauge) judged(c *column) int64 { return max(g.step-steps, c.changed+spreadSteps) + 1 }

// span is how many seconds are judged.
func (g *Gauge) span(c *column) float64 {
	return float64(g.step-g.judged(c)+1) * (window / steps).Seconds()
}

func (g *Gauge) put(c *column, next Cutoff) {
	g.number++
	next.Number = g.number
	c.cutoff, c.changed = next, g.step
}
