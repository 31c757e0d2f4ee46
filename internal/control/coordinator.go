package control

import (
	"context"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/sites"
)

// coordinator performs the tasks of the leader: it publishes the fleet, receives the
// proxies' reports, and advances the rollouts. Only its loop accesses its fields.
type coordinator struct {
	*node
	loop     *clock.Loop[func()]
	detector *outlier.Aggregator
	// term is the term under which states was read, 0 while this node is not the leader.
	term     uint64
	states   map[string]rollout.State
	progress map[string]*rolloutProgress
	// writeCount numbers the writes of this term; each has its own number.
	writeCount    uint64
	listedServers []feed.Server
	lastFleet     feed.Fleet
	// lastCountAt is when a fleet with a new count was last published.
	lastCountAt clock.Instant
	// recentFleets holds the last published fleets, from which differences are computed.
	recentFleets []feed.Fleet
	// relativeLatencies holds the servers' relative latencies as last published, and
	// latenciesReadAt when they were read; termStartedAt is when this node took over.
	relativeLatencies map[string]int
	latenciesReadAt   clock.Instant
	termStartedAt     clock.Instant
	// fleetBuiltAt is when the fleet was last built.
	fleetBuiltAt clock.Instant
	// proxyZones maps proxies to their zones. siteTree is the tree of sites of the
	// configuration with the digest siteTreeDigest; allocator allocates the capacity of
	// the sites under allocatorTerm.
	proxyZones       map[string]string
	siteTree         *sites.Tree
	siteTreeDigest   string
	allocator        *sites.Allocator
	allocatorTerm    uint64
	allocatedReading feed.FleetVersion
	allocatedAt      clock.Instant
	// loadController measures the load and decides on the cutoffs. activeMirrors holds the
	// mirrors in force; eraCount is the number of eras started for them.
	loadController *shedding.Controller
	activeMirrors  map[string]*activeMirror
	eraCount       uint64
	// repeatedCommands holds the last repetition of a command, by its subject.
	repeatedCommands map[string]repeatedCommand
	// rejections counts the commands that this node has rejected as the leader.
	rejections uint64
}

// rolloutProgress is the state of an active rollout that only the leader keeps.
type rolloutProgress struct {
	number         uint64
	phase          rollout.Phase
	wave           int
	phaseStartedAt clock.Instant
	// fullShareVersion is the first fleet version that gives the target all requests.
	fullShareVersion feed.FleetVersion
	finding          outlier.Evaluation
	// knownDuplicates is the number of keys with duplicate executions that this node
	// knew of when it began to advance the rollout: those counted in an earlier term
	// are no evidence about the rollout.
	knownDuplicates int
}

const (
	coordinationInterval = 100 * time.Millisecond
	grantRenewalInterval = 300 * time.Millisecond
	// publishInterval is how often the fleet is rebuilt while it holds no grants.
	publishInterval = 300 * time.Millisecond
	// latencyPublishInterval is how often new relative latencies are published: each
	// update costs every proxy some work, and any of the servers can cause one.
	latencyPublishInterval = time.Second
	// maxRecentFleets is the number of published fleets kept for computing differences.
	maxRecentFleets = 6
	// proxyReportMaxAge is how long a proxy is counted after its last report.
	proxyReportMaxAge = 5 * time.Second
)

func newCoordinator(n *node) *coordinator {
	return &coordinator{
		node: n, loop: clock.NewLoop[func()](1024), detector: outlier.NewAggregator(n.clock),
		states: map[string]rollout.State{}, progress: map[string]*rolloutProgress{}, proxyZones: map[string]string{},
		activeMirrors: map[string]*activeMirror{}, loadController: shedding.NewController(n.clock, rand.Uint64), repeatedCommands: map[string]repeatedCommand{},
	}
}

func (c *coordinator) run(ctx context.Context) {
	c.loop.Run(ctx, runAll, coordinationInterval, c.coordinate)
}

// coordinate runs periodically in the coordinator's loop.
func (c *coordinator) coordinate() {
	c.detector.UpdateWindow()
	if !c.ensureLeading() {
		return
	}
	for _, state := range c.states {
		switch {
		case !c.holdsLease(c.term):
			// Each step takes time, during which the lease may expire.
			return
		case !state.Phase.IsActive():
		case state.IsStaged():
			c.advanceStagedChange(state)
		default:
			c.advanceRollout(state)
		}
	}
	cutoffsChanged, now := c.updateCutoffs(), c.clock.Monotonic()
	switch {
	case cutoffsChanged, c.lastFleet.HasGrants(), time.Duration(now-c.fleetBuiltAt) >= publishInterval:
		c.publish()
	case c.lastFleet.Term == c.term:
		c.sendFleet(c.lastFleet)
	}
	c.updateAllocation()
}

// ensureLeading reports whether this node is the leader with a valid lease and has read
// the state of a majority under its term, which it does if necessary. The state of the
// term is kept while the lease is interrupted: if the lease becomes valid again under the
// same term, no other node was the leader meanwhile.
func (c *coordinator) ensureLeading() bool {
	term := c.ownTerm.Load()
	if !c.isLeader.Load() || term == 0 {
		c.term = 0
		return false
	}
	if !c.holdsLease(term) {
		return false
	}
	if c.term == term {
		return true
	}
	states, _, highestTerm, err := c.collectRollouts()
	if err != nil || highestTerm > term {
		return false
	}
	// All rollouts are written again under this term, so that a write that an earlier
	// leader left on a minority of the members can no longer take effect.
	for subject, state := range states {
		c.writeCount = max(c.writeCount, state.Count)
		state.Term = term
		states[subject] = state
		if c.writeRollout(state) != nil {
			return false
		}
	}
	c.term, c.states, c.progress, c.termStartedAt = term, states, map[string]*rolloutProgress{}, c.clock.Monotonic()
	clear(c.activeMirrors)
	c.resetLoadController()
	var fleet feed.Fleet
	c.store.read(func(t *tables) { fleet = t.fleet })
	// A fleet that this node published in an earlier term is older than the stored one,
	// which includes what the leaders since then published.
	c.lastFleet, c.listedServers = fleet, fleet.Servers
	return c.holdsLease(term)
}

// commitState persists the next state of a subject on a majority of the members and only
// then adopts it.
func (c *coordinator) commitState(state rollout.State) error {
	if !c.holdsLease(c.term) {
		return apierror.New(apierror.ControlPlaneUnavailable, "the leader lease has expired")
	}
	c.writeCount++
	state.Term, state.Count = c.term, c.writeCount
	if err := c.writeRollout(state); err != nil {
		return err
	}
	c.states[state.Subject] = state
	return nil
}

// advanceRollout moves a rollout to its next phase if the facts permit it.
func (c *coordinator) advanceRollout(state rollout.State) {
	progress := c.progressOf(state)
	facts := c.facts(state, progress)
	progress.finding = facts.Finding
	event, reason := state.Next(facts)
	if event == rollout.NoEvent {
		return
	}
	next, permitted := state.Apply(event, reason, facts.Elapsed)
	if !permitted {
		return
	}
	if err := c.commitState(next); err != nil {
		return
	}
	c.log("warn", "rollout changed phase", "subject", state.Subject, "phase", next.Phase, "target", next.TargetVersion, "elapsed", facts.Elapsed, "reason", reason)
	c.progressOf(next)
}

// progressOf returns the progress of a rollout in its present phase and wave.
func (c *coordinator) progressOf(state rollout.State) *rolloutProgress {
	previous := c.progress[state.Subject]
	if previous != nil && previous.number == state.Number && previous.phase == state.Phase && previous.wave == state.Wave {
		return previous
	}
	next := &rolloutProgress{number: state.Number, phase: state.Phase, wave: state.Wave, phaseStartedAt: c.clock.Monotonic()}
	if previous != nil && previous.number == state.Number {
		next.fullShareVersion, next.finding, next.knownDuplicates = previous.fullShareVersion, previous.finding, previous.knownDuplicates
	} else {
		c.store.read(func(t *tables) { next.knownDuplicates = t.voter.DuplicateExecutions() })
	}
	c.progress[state.Subject] = next
	return next
}

// facts collects the facts that decide on the next phase of a rollout.
func (c *coordinator) facts(state rollout.State, progress *rolloutProgress) rollout.Observation {
	now := c.clock.Monotonic()
	facts := rollout.Observation{
		Elapsed: time.Duration(now - c.rolloutStartedAt(state)), InPhase: time.Duration(now - progress.phaseStartedAt),
		Finding: c.detector.Evaluate(state.Subject, state.Number, 0),
	}
	current, target := splitByVersion(c.listedServers, state)
	facts.ReadyCapacity, facts.OldCapacity = totalCapacity(c.listedServers, target), totalCapacity(c.listedServers, current)
	facts.ProxyProgress = c.detector.Usage(state.Subject, progress.fullShareVersion)
	if progress.fullShareVersion.Term == 0 {
		facts.ProxyProgress.Outdated = max(1, facts.ProxyProgress.Outdated)
	}
	return facts
}
