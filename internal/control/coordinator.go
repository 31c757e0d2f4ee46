package control

import (
	"context"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/branchline"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// coordinator does what falls to the holder of the duty: it publishes the fleet,
// hears the proxies' reports, and drives the trials. Its loop owns its tables.
type coordinator struct {
	*node
	loop     *timetable.Loop[func()]
	detector *outlier.Court
	// term is the one for which states were read; 0 while the duty is not here.
	term     uint64
	states   map[string]trial.State
	progress map[string]*rolloutProgress
	// written counts this term's writings; no two share a number.
	writeCount    uint64
	listedServers []feed.Server
	lastFleet     feed.Fleet
	lastCountAt   timetable.Steady
	// published are the last readings, for telling what has changed since them.
	recentFleets []feed.Fleet
	// paces are the servers' as last told, and when; termAt is when the term
	// began here.
	relativeLatencies map[string]int
	latenciesReadAt   timetable.Steady
	termStartedAt     timetable.Steady
	// laidOutAt is when the fleet was laid out last.
	fleetBuiltAt timetable.Steady
	// cells are where the proxies are; tree is the sites, of the book with the
	// digest treeOf; office gives out their room under officeTerm.
	proxyZones       map[string]string
	siteTree         *branchline.Tree
	siteTreeDigest   string
	allocator        *branchline.Office
	allocatorTerm    uint64
	allocatedReading feed.Reading
	allocatedAt      timetable.Steady
	// gauge measures the load and decides on cutoffs; copying are the mirrors in
	// force, of which eras have begun.
	loadGauge     *shedding.Gauge
	activeMirrors map[string]*activeMirror
	eraCount      uint64
	// repeats are the orders that came again, by their subject.
	repeatedCommands map[string]repeatedCommand
}

// drive is what the holder alone knows of an active trial.
type rolloutProgress struct {
	number         uint64
	phase          trial.Phase
	wave           int
	phaseStartedAt timetable.Steady
	// full is the first reading in which the new version had everything.
	fullShareReading feed.Reading
	finding          outlier.Finding
	// doubled is how many keys with two runs were known here as the drive began: what
	// this node counted in an earlier term says nothing of the trial.
	knownDuplicates int
}

const (
	coordinationInterval = 100 * time.Millisecond
	grantRenewalInterval = 300 * time.Millisecond
	// publishPeriod is how often the fleet is laid out anew with nothing granted.
	publishInterval = 300 * time.Millisecond
	// pacePeriod is how often new paces are told: each telling costs every proxy
	// a little, and they come from as many servers as there are.
	latencyPublishInterval = time.Second
	// publishedKept is how many readings are kept for telling changes.
	maxRecentFleets = 6
	// proxiesSpan is how long a proxy counts after its last report.
	proxyReportMaxAge = 5 * time.Second
)

func newCoordinator(n *node) *coordinator {
	return &coordinator{
		node: n, loop: timetable.NewLoop[func()](1024), detector: outlier.NewCourt(n.clock),
		states: map[string]trial.State{}, progress: map[string]*rolloutProgress{}, proxyZones: map[string]string{},
		activeMirrors: map[string]*activeMirror{}, loadGauge: shedding.NewGauge(n.clock, rand.Uint64), repeatedCommands: map[string]repeatedCommand{},
	}
}

func (c *coordinator) run(ctx context.Context) {
	c.loop.Run(ctx, runAll, coordinationInterval, c.coordinate)
}

// conduct is the alarm.
func (c *coordinator) coordinate() {
	c.detector.Tend()
	if !c.ensureLeading() {
		return
	}
	for _, state := range c.states {
		switch {
		case !c.holdsLease(c.term):
			// Each step takes time in which the lease may end.
			return
		case !state.Phase.IsActive():
		case state.IsStaged():
			c.advanceStagedChange(state)
		default:
			c.advanceRollout(state)
		}
	}
	cutoffsChanged, now := c.updateCutoffs(), c.clock.Steady()
	switch {
	case cutoffsChanged, c.lastFleet.HoldsGrants(), time.Duration(now-c.fleetBuiltAt) >= publishInterval:
		c.publish()
	case c.lastFleet.Term == c.term:
		c.sendFleet(c.lastFleet)
	}
	c.updateAllocation()
}

// isMaster tells whether this node holds the duty by a lease that is valid now, and
// has read, under its term, what a majority keeps. What is known of the term stays
// while the lease is interrupted: if it becomes valid again under the same term,
// nobody else held the duty meanwhile.
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
	// Every trial is written again under this term, so that whatever an older
	// holder left on a few members can no longer come to light.
	for subject, state := range states {
		c.writeCount = max(c.writeCount, state.Count)
		state.Term = term
		states[subject] = state
		if c.writeRollout(state) != nil {
			return false
		}
	}
	c.term, c.states, c.progress, c.termStartedAt = term, states, map[string]*rolloutProgress{}, c.clock.Steady()
	clear(c.activeMirrors)
	c.resetLoadGauge()
	var fleet feed.Fleet
	c.store.read(func(t *tables) { fleet = t.fleet })
	// An earlier term's own reading is older than what the holders since then read.
	c.lastFleet, c.listedServers = fleet, fleet.Servers
	return c.holdsLease(term)
}

// write keeps the next state of a subject on a majority, and only then goes by
// it.
func (c *coordinator) commitState(state trial.State) error {
	if !c.holdsLease(c.term) {
		return apierror.New(apierror.Gone, "the lease has ended")
	}
	c.writeCount++
	state.Term, state.Count = c.term, c.writeCount
	if err := c.writeRollout(state); err != nil {
		return err
	}
	c.states[state.Subject] = state
	return nil
}

// drive takes one step of a trial, where the facts come to one.
func (c *coordinator) advanceRollout(state trial.State) {
	progress := c.progressOf(state)
	facts := c.facts(state, progress)
	progress.finding = facts.Finding
	event, reason := state.Next(facts)
	if event == trial.None {
		return
	}
	next, permitted := state.Step(event, reason, facts.Elapsed)
	if !permitted {
		return
	}
	if err := c.commitState(next); err != nil {
		return
	}
	c.log("warn", "trial", "subject", state.Subject, "phase", next.Phase, "target", next.Target, "elapsed", facts.Elapsed, "reason", reason)
	c.progressOf(next)
}

// driveOf is what is known of the trial in its present phase and wave.
func (c *coordinator) progressOf(state trial.State) *rolloutProgress {
	previous := c.progress[state.Subject]
	if previous != nil && previous.number == state.Number && previous.phase == state.Phase && previous.wave == state.Wave {
		return previous
	}
	next := &rolloutProgress{number: state.Number, phase: state.Phase, wave: state.Wave, phaseStartedAt: c.clock.Steady()}
	if previous != nil && previous.number == state.Number {
		next.fullShareReading, next.finding, next.knownDuplicates = previous.fullShareReading, previous.finding, previous.knownDuplicates
	} else {
		c.store.read(func(t *tables) { next.knownDuplicates = t.voter.DuplicateExecutions() })
	}
	c.progress[state.Subject] = next
	return next
}

func (c *coordinator) facts(state trial.State, progress *rolloutProgress) trial.Facts {
	now := c.clock.Steady()
	facts := trial.Facts{
		Elapsed: time.Duration(now - c.rolloutStartedAt(state)), InPhase: time.Duration(now - progress.phaseStartedAt),
		Finding: c.detector.Hearing(state.Subject, state.Number, 0),
	}
	current, target := splitByVersion(c.listedServers, state)
	facts.Ready, facts.Old = totalCapacity(c.listedServers, target), totalCapacity(c.listedServers, current)
	facts.Touch = c.detector.Touch(state.Subject, progress.fullShareReading)
	if progress.fullShareReading.Term == 0 {
		facts.Touch.Behind = max(1, facts.Touch.Behind)
	}
	return facts
}
