package shedding

import (
	"maps"
	"slices"
	"time"

	"ploverhitch/internal/clock"
)

// Load contains what one node counted for a service and tier since its last report.
type Load struct {
	Service string `cbor:"1,keyasint"`
	Tier    Tier   `cbor:"2,keyasint"`
	// Offered counts the requests that arrived, Shed those that a cutoff rejected.
	Offered uint32 `cbor:"3,keyasint,omitempty"`
	Shed    uint32 `cbor:"4,keyasint,omitempty"`
	// Sent counts the attempts that a server answered, Rejected those that it
	// rejected because it was full, and Late those that took much longer than usual
	// and longer than the target latency of the route.
	Sent     uint32 `cbor:"5,keyasint,omitempty"`
	Rejected uint32 `cbor:"6,keyasint,omitempty"`
	Late     uint32 `cbor:"7,keyasint,omitempty"`
	// Keyed reports whether the requests have idempotency keys.
	Keyed bool `cbor:"8,keyasint,omitempty"`
}

const (
	// window is the time over which loads are evaluated, divided into steps.
	window = 1500 * time.Millisecond
	steps  = 6
	// raiseInterval is the minimum time between two raises. A cutoff takes this long
	// to reach all nodes and show an effect.
	raiseInterval = 2 * time.Second
	// initialCalm is how long a service must be calm before its cutoff is lowered;
	// a third of it must pass between two lowerings. It doubles after each relapse,
	// up to maxCalm.
	initialCalm = 1500 * time.Millisecond
	maxCalm     = 16 * time.Second
	// rejectedThreshold and lateThreshold are the shares of the sent attempts above
	// which a service is overloaded. Up to calmThreshold, rejected and late together,
	// it is calm.
	rejectedThreshold = 0.03
	lateThreshold     = 0.25
	calmThreshold     = 0.02
	// keyedThreshold is the share of rejected attempts above which keyed tiers are
	// shed too: servers then reject most of the attempts that they receive.
	keyedThreshold = 0.5
	// minSent is the number of attempts in the window that an evaluation needs.
	minSent = 20
	// maxFirstRaise limits the first raise, as a share of the admitted requests, and
	// maxNextRaise each further one. While servers reject requests of all tiers,
	// retries make the load look larger than it is.
	maxFirstRaise = 0.6
	maxNextRaise  = 0.2
	// minRaise is the minimum share of the admitted requests that a raise rejects.
	minRaise = 0.05
	// loweringStep is how many more requests one lowering admits, as a share of the
	// admitted ones.
	loweringStep = 0.15
	// capacityLimit is the share of the measured capacity that lowering may use until
	// probeDelay has passed since the last raise.
	capacityLimit = 0.92
	probeDelay    = 20 * time.Second
	// capacityDecay is the factor applied to the measured capacity at the next raise,
	// because servers may have left.
	capacityDecay = 0.9
	// propagationSteps is the number of steps after a change that are not evaluated,
	// because not all nodes have received the cutoff yet.
	propagationSteps = 2
	// minEvaluatedSteps is how many further steps must pass before the next decision.
	minEvaluatedSteps = 3
	// wideShare is the share of the nodes, and of the servers, that must be overloaded
	// for the whole service to count as overloaded.
	wideShare = 0.5
)

// Controller collects the loads of one node or of all nodes and decides on the cutoffs.
// It is not safe for concurrent use.
type Controller struct {
	clock      clock.Clock
	services   map[string]*serviceState
	step       int64
	lastNumber uint64
	newSeed    func() uint64
}

// NewController returns a controller without cutoffs. newSeed returns the seed for a new
// overload.
func NewController(clock clock.Clock, newSeed func() uint64) *Controller {
	return &Controller{clock: clock, services: map[string]*serviceState{}, newSeed: newSeed}
}

// Restore continues from the cutoffs of an earlier leader.
func (c *Controller) Restore(cutoffs []Cutoff) {
	now := c.clock.Monotonic()
	for _, cutoff := range cutoffs {
		state := c.stateOf(cutoff.Service)
		state.cutoff, state.active, state.changedAt, state.calmSince = cutoff, true, now, now
		c.lastNumber = max(c.lastNumber, cutoff.Number)
	}
}

func (c *Controller) stateOf(service string) *serviceState {
	state := c.services[service]
	if state == nil {
		state = &serviceState{requiredCalm: initialCalm, calmSince: c.clock.Monotonic()}
		c.services[service] = state
	}
	return state
}

// Add adds the loads that a node counted.
func (c *Controller) Add(node string, loads []Load) {
	c.advance()
	for _, load := range loads {
		state := c.stateOf(load.Service)
		loadsByNode := &state.loads[c.step%steps]
		if *loadsByNode == nil {
			*loadsByNode = map[string][]Load{}
		}
		(*loadsByNode)[node] = append((*loadsByNode)[node], load)
	}
}

// advance moves to the current step of the window and clears the steps since the
// last call.
func (c *Controller) advance() {
	now := int64(c.clock.Monotonic() / clock.Instant(window/steps))
	for advanced := 0; c.step < now && advanced < steps; advanced++ {
		c.step++
		for _, state := range c.services {
			state.loads[c.step%steps] = nil
		}
	}
	c.step = now
}

// Cutoffs returns the cutoffs in force, sorted by service.
func (c *Controller) Cutoffs() (out []Cutoff) {
	for _, service := range slices.Sorted(maps.Keys(c.services)) {
		if state := c.services[service]; state.active {
			out = append(out, state.cutoff)
		}
	}
	return out
}

// Decide raises or lowers the cutoff of each service where its load requires it, and
// reports whether any cutoff changed. overloadedShare returns the share of a
// service's servers that reject requests or answer them late.
func (c *Controller) Decide(overloadedShare func(service string) float64) (changed bool) {
	c.advance()
	now := c.clock.Monotonic()
	for _, service := range slices.Sorted(maps.Keys(c.services)) {
		state := c.services[service]
		if c.step-state.changedStep < propagationSteps+minEvaluatedSteps {
			continue
		}
		t := state.totals(c.firstEvaluatedStep(state), c.step)
		conclusive := t.sent >= minSent
		overloaded := conclusive && (t.rejected > rejectedThreshold*t.sent || t.late > lateThreshold*t.sent)
		widespread := float64(t.overloadedNodes) >= wideShare*float64(max(1, t.nodes))
		switch {
		case overloaded && widespread && overloadedShare(service) >= wideShare:
			state.calmSince = now
			if !state.active || time.Duration(now-state.changedAt) >= raiseInterval {
				changed = c.raise(service, state, t) || changed
			}
		case !state.active:
		case conclusive && t.rejected+t.late > calmThreshold*t.sent:
			state.calmSince = now
		case time.Duration(now-state.calmSince) >= state.requiredCalm && time.Duration(now-state.changedAt) >= state.requiredCalm/3:
			changed = c.lower(state, t) || changed
		}
	}
	return changed
}

// raise increases the rejected share of the admitted requests by the larger of the
// rejected share and half of the late share of the attempts.
func (c *Controller) raise(service string, state *serviceState, t windowTotals) bool {
	now := c.clock.Monotonic()
	if state.lastLowered && time.Duration(now-state.changedAt) < 2*state.requiredCalm {
		state.requiredCalm = min(2*state.requiredCalm, maxCalm)
	}
	flows, maxShare := state.tierFlows(c.firstEvaluatedStep(state)), maxNextRaise
	if !state.active {
		state.cutoff, maxShare = Cutoff{Service: service, Seed: c.newSeed(), Tier: Tier(len(flows))}, maxFirstRaise
	}
	// Keyed operations that complete late or that a server sometimes rejects are
	// better than ones that every node rejects until the cutoff is lowered.
	shedKeyed := t.rejected > keyedThreshold*t.sent
	next := state.raisedCutoff(min(maxShare, max(minRaise, t.rejected/t.sent, t.late/t.sent/2)), flows, shedKeyed)
	if next.Level(len(flows)) <= max(0, state.cutoff.Level(len(flows))) {
		return false
	}
	state.active, state.lastLowered, state.changedAt, state.raisedAt = true, false, now, now
	// A raise soon after another one measures less than the capacity of the servers.
	state.capacity = max(capacityDecay*state.capacity, (t.sent-t.rejected)/c.evaluatedSeconds(state))
	c.setCutoff(state, next)
	return true
}

// lower admits some of the rejected requests.
func (c *Controller) lower(state *serviceState, t windowTotals) bool {
	now, admittedRate := c.clock.Monotonic(), (t.offered-t.shed)/c.evaluatedSeconds(state)
	if time.Duration(now-state.raisedAt) < probeDelay && admittedRate*(1+loweringStep) > capacityLimit*state.capacity {
		return false
	}
	state.changedAt, state.lastLowered = now, true
	next, none := state.loweredCutoff(loweringStep, state.tierFlows(c.firstEvaluatedStep(state)))
	if none {
		state.active = false
		c.lastNumber++
		return true
	}
	c.setCutoff(state, next)
	return true
}

// firstEvaluatedStep returns the first step to evaluate. In earlier ones, some nodes
// had not received the cutoff yet.
func (c *Controller) firstEvaluatedStep(state *serviceState) int64 {
	return max(c.step-steps, state.changedStep+propagationSteps) + 1
}

// evaluatedSeconds returns the length of the evaluated steps.
func (c *Controller) evaluatedSeconds(state *serviceState) float64 {
	return float64(c.step-c.firstEvaluatedStep(state)+1) * (window / steps).Seconds()
}

func (c *Controller) setCutoff(state *serviceState, next Cutoff) {
	c.lastNumber++
	next.Number = c.lastNumber
	state.cutoff, state.changedStep = next, c.step
}
