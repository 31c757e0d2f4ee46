package shedding

import (
	"maps"
	"slices"
	"time"

	"ploverhitch/internal/timetable"
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
	Sent     uint32 `cbor:"5,keyasint,omitempty"`
	Rejected uint32 `cbor:"6,keyasint,omitempty"`
	Late     uint32 `cbor:"7,keyasint,omitempty"`
	// IsKeyed: its inquiries are keyed operations.
	Keyed bool `cbor:"8,keyasint,omitempty"`
}

const (
	// window is the span that is judged, in so many steps.
	window = 1500 * time.Millisecond
	steps  = 6
	// raiseRest is the least time between two raisings: so long it takes until a
	// cutoff is everywhere and its effect is seen.
	raiseInterval = 2 * time.Second
	// calmFirst is how long the service must be calm before the cutoff is lowered,
	// a third of it lies between two steps; it doubles after each relapse, up to
	// calmLongest.
	initialCalm = 1500 * time.Millisecond
	maxCalm     = 16 * time.Second
	// turnedMost and lateMost are the shares of what was sent above which a
	// service is overloaded, calmMost the share under which it is calm.
	rejectedThreshold = 0.03
	lateThreshold     = 0.25
	calmThreshold     = 0.02
	// keyedMost is the share turned away above which keyed tiers are cut too: there,
	// most of what a server does is to refuse.
	keyedThreshold = 0.5
	// leastSent is how much must have been sent in the window to judge by it.
	minSent = 20
	// firstMost bounds the first raising, as a share of what was carried, and
	// againMost a further one: while servers turn inquiries of all tiers away, these
	// come back and make the load seem larger than it is.
	maxFirstRaise = 0.6
	maxNextRaise  = 0.2
	// raiseLeast is the least that one raising turns away of what was carried.
	minRaise = 0.05
	// carryMore is how much more is carried after one lowering.
	loweringStep = 0.15
	// fullPart is the part of what the servers carried while they were full up to
	// which more is let in, until nothing was raised for probeRest.
	capacityLimit = 0.92
	probeDelay    = 20 * time.Second
	// capacityFade is what is left of that measure at the next raising, as servers
	// may have gone.
	capacityDecay = 0.9
	// spreadSteps are the steps after a change that are not judged: not every node
	// had heard of it.
	propagationSteps = 2
	// judgedSteps are how many steps after those must have passed.
	minEvaluatedSteps = 3
	// widePart is the part of the nodes, and of the servers, that must be strained
	// for an overload of the whole service.
	wideShare = 0.5
)

// Gauge sums the loads of one node or of all, and decides on the cutoffs. It has
// one owner.
type Gauge struct {
	clock      timetable.Clock
	services   map[string]*serviceState
	step       int64
	lastNumber uint64
	newSeed    func() uint64
}

// NewGauge makes a gauge with no cutoff; seed gives the seed of each overload.
//
// Example:
//
//	gauge := shedding.NewGauge(clock, rand.Uint64)
func NewGauge(clock timetable.Clock, newSeed func() uint64) *Gauge {
	return &Gauge{clock: clock, services: map[string]*serviceState{}, newSeed: newSeed}
}

// Hold goes on from the cutoffs of an earlier holder.
//
// Example:
//
//	gauge.Hold(fleet.Cutoffs)
func (g *Gauge) Restore(cutoffs []Cutoff) {
	now := g.clock.Steady()
	for _, cutoff := range cutoffs {
		c := g.service(cutoff.Service)
		c.cutoff, c.active, c.changedAt, c.calmSince = cutoff, true, now, now
		g.lastNumber = max(g.lastNumber, cutoff.Number)
	}
}

func (g *Gauge) service(service string) *serviceState {
	c := g.services[service]
	if c == nil {
		c = &serviceState{requiredCalm: initialCalm, calmSince: g.clock.Steady()}
		g.services[service] = c
	}
	return c
}

// Hear takes what a node counted.
//
// Example:
//
//	gauge.Hear(report.Node, report.Loads)
func (g *Gauge) Add(node string, loads []Load) {
	g.advance()
	for _, load := range loads {
		c := g.service(load.Service)
		loadsByNode := &c.loads[g.step%steps]
		if *loadsByNode == nil {
			*loadsByNode = map[string][]Load{}
		}
		(*loadsByNode)[node] = append((*loadsByNode)[node], load)
	}
}

// turn moves to the present step of the window, and empties those passed.
func (g *Gauge) advance() {
	now := int64(g.clock.Steady() / timetable.Steady(window/steps))
	for advanced := 0; g.step < now && advanced < steps; advanced++ {
		g.step++
		for _, c := range g.services {
			c.loads[g.step%steps] = nil
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
	for _, service := range slices.Sorted(maps.Keys(g.services)) {
		if c := g.services[service]; c.active {
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
func (g *Gauge) Decide(overloadedShare func(service string) float64) (changed bool) {
	g.advance()
	now := g.clock.Steady()
	for _, service := range slices.Sorted(maps.Keys(g.services)) {
		c := g.services[service]
		if g.step-c.changedStep < propagationSteps+minEvaluatedSteps {
			continue
		}
		t := c.totals(g.firstEvaluatedStep(c), g.step)
		conclusive := t.sent >= minSent
		overloaded := conclusive && (t.rejected > rejectedThreshold*t.sent || t.late > lateThreshold*t.sent)
		widespread := float64(t.overloadedNodes) >= wideShare*float64(max(1, t.nodes))
		switch {
		case overloaded && widespread && overloadedShare(service) >= wideShare:
			c.calmSince = now
			if !c.active || time.Duration(now-c.changedAt) >= raiseInterval {
				changed = g.raise(service, c, t) || changed
			}
		case !c.active:
		case conclusive && t.rejected+t.late > calmThreshold*t.sent:
			c.calmSince = now
		case time.Duration(now-c.calmSince) >= c.requiredCalm && time.Duration(now-c.changedAt) >= c.requiredCalm/3:
			changed = g.lower(c, t) || changed
		}
	}
	return changed
}

// raise turns away as much of what is carried as the servers turned away, or half
// as much as they were late with.
func (g *Gauge) raise(service string, c *serviceState, t windowTotals) bool {
	now := g.clock.Steady()
	if c.lastLowered && time.Duration(now-c.changedAt) < 2*c.requiredCalm {
		c.requiredCalm = min(2*c.requiredCalm, maxCalm)
	}
	flows, maxShare := c.tierFlows(g.firstEvaluatedStep(c)), maxNextRaise
	if !c.active {
		c.cutoff, maxShare = Cutoff{Service: service, Seed: g.newSeed(), Tier: Tier(len(flows))}, maxFirstRaise
	}
	// Keyed operations that come late, or that a server turns away now and then, are
	// still better than ones that every node refuses until the cutoff falls.
	shedKeyed := t.rejected > keyedThreshold*t.sent
	next := c.raisedCutoff(min(maxShare, max(minRaise, t.rejected/t.sent, t.late/t.sent/2)), flows, shedKeyed)
	if next.Level(len(flows)) <= max(0, c.cutoff.Level(len(flows))) {
		return false
	}
	c.active, c.lastLowered, c.changedAt, c.raisedAt = true, false, now, now
	// A raising that followed on another saw less than the servers carry.
	c.capacity = max(capacityDecay*c.capacity, (t.sent-t.rejected)/g.evaluatedSeconds(c))
	g.setCutoff(c, next)
	return true
}

// lower lets some of those in that are turned away.
func (g *Gauge) lower(c *serviceState, t windowTotals) bool {
	now, admittedRate := g.clock.Steady(), (t.offered-t.shed)/g.evaluatedSeconds(c)
	if time.Duration(now-c.raisedAt) < probeDelay && admittedRate*(1+loweringStep) > capacityLimit*c.capacity {
		return false
	}
	c.changedAt, c.lastLowered = now, true
	next, none := c.loweredCutoff(loweringStep, c.tierFlows(g.firstEvaluatedStep(c)))
	if none {
		c.active = false
		g.lastNumber++
		return true
	}
	g.setCutoff(c, next)
	return true
}

// judged is the first step by which a service is judged: of those before, some
// nodes had not heard of the cutoff.
func (g *Gauge) firstEvaluatedStep(c *serviceState) int64 {
	return max(g.step-steps, c.changedStep+propagationSteps) + 1
}

// span is how many seconds are judged.
func (g *Gauge) evaluatedSeconds(c *serviceState) float64 {
	return float64(g.step-g.firstEvaluatedStep(c)+1) * (window / steps).Seconds()
}

func (g *Gauge) setCutoff(c *serviceState, next Cutoff) {
	g.lastNumber++
	next.Number = g.lastNumber
	c.cutoff, c.changedStep = next, g.step
}
