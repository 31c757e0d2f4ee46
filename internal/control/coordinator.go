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
	loop  *timetable.Loop[func()]
	court *outlier.Court
	// term is the one for which states were read; 0 while the duty is not here.
	term   uint64
	states map[string]trial.State
	drives map[string]*drive
	// written counts this term's writings; no two share a number.
	written uint64
	listed  []feed.Server
	last    feed.Fleet
	toldAt  timetable.Steady
	// published are the last readings, for telling what has changed since them.
	published []feed.Fleet
	// paces are the servers' as last told, and when; termAt is when the term
	// began here.
	paces   map[string]int
	pacedAt timetable.Steady
	termAt  timetable.Steady
	// laidOutAt is when the fleet was laid out last.
	laidOutAt timetable.Steady
	// cells are where the proxies are; tree is the sites, of the book with the
	// digest treeOf; office gives out their room under officeTerm.
	cells      map[string]string
	tree       *branchline.Tree
	treeOf     string
	office     *branchline.Office
	officeTerm uint64
	laid       feed.Reading
	laidAt     timetable.Steady
	// gauge measures the load and decides on cutoffs; copying are the mirrors in
	// force, of which eras have begun.
	gauge   *shedding.Gauge
	copying map[string]*copying
	eras    uint64
	// repeats are the orders that came again, by their subject.
	repeats map[string]repeat
}

// drive is what the holder alone knows of an active trial.
type drive struct {
	number  uint64
	phase   trial.Phase
	wave    int
	phaseAt timetable.Steady
	// full is the first reading in which the new version had everything.
	full    feed.Reading
	finding outlier.Finding
	// doubled is how many keys with two runs were known here as the drive began: what
	// this node counted in an earlier term says nothing of the trial.
	doubled int
}

const (
	conductPeriod = 100 * time.Millisecond
	renewPeriod   = 300 * time.Millisecond
	// publishPeriod is how often the fleet is laid out anew with nothing granted.
	publishPeriod = 300 * time.Millisecond
	// pacePeriod is how often new paces are told: each telling costs every proxy
	// a little, and they come from as many servers as there are.
	pacePeriod = time.Second
	// publishedKept is how many readings are kept for telling changes.
	publishedKept = 6
	// proxiesSpan is how long a proxy counts after its last report.
	proxiesSpan = 5 * time.Second
)

func newCoordinator(n *node) *coordinator {
	return &coordinator{
		node: n, loop: timetable.NewLoop[func()](1024), court: outlier.NewCourt(n.clock),
		states: map[string]trial.State{}, drives: map[string]*drive{}, cells: map[string]string{},
		copying: map[string]*copying{}, gauge: shedding.NewGauge(n.clock, rand.Uint64), repeats: map[string]repeat{},
	}
}

func (c *coordinator) run(ctx context.Context) {
	c.loop.Run(ctx, runAll, conductPeriod, c.conduct)
}

// conduct is the alarm.
func (c *coordinator) conduct() {
	c.court.Tend()
	if !c.isMaster() {
		return
	}
	for _, state := range c.states {
		switch {
		case !c.holdsLease(c.term):
			// Each step takes time in which the lease may end.
			return
		case !state.Phase.IsActive():
		case state.IsStaged():
			c.driveStage(state)
		default:
			c.drive(state)
		}
	}
	isChanged, now := c.measure(), c.clock.Steady()
	switch {
	case isChanged, c.last.HoldsGrants(), time.Duration(now-c.laidOutAt) >= publishPeriod:
		c.publish()
	case c.last.Term == c.term:
		c.sendFleet(c.last)
	}
	c.layTree()
}

// isMaster tells whether this node holds the duty by a lease that is valid now, and
// has read, under its term, what a majority keeps. What is known of the term stays
// while the lease is interrupted: if it becomes valid again under the same term,
// nobody else held the duty meanwhile.
func (c *coordinator) isMaster() bool {
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
	states, _, fence, err := c.gatherTrials()
	if err != nil || fence > term {
		return false
	}
	// Every trial is written again under this term, so that whatever an older
	// holder left on a few members can no longer come to light.
	for subject, state := range states {
		c.written = max(c.written, state.Count)
		state.Term = term
		states[subject] = state
		if c.writeTrial(state) != nil {
			return false
		}
	}
	c.term, c.states, c.drives, c.termAt = term, states, map[string]*drive{}, c.clock.Steady()
	clear(c.copying)
	c.takeGauge()
	var held feed.Fleet
	c.store.read(func(t *tables) { held = t.fleet })
	// An earlier term's own reading is older than what the holders since then read.
	c.last, c.listed = held, held.Servers
	return c.holdsLease(term)
}

// write keeps the next state of a subject on a majority, and only then goes by
// it.
func (c *coordinator) write(state trial.State) error {
	if !c.holdsLease(c.term) {
		return apierror.New(apierror.ControlPlaneUnavailable, "the lease has ended")
	}
	c.written++
	state.Term, state.Count = c.term, c.written
	if err := c.writeTrial(state); err != nil {
		return err
	}
	c.states[state.Subject] = state
	return nil
}

// drive takes one step of a trial, where the facts come to one.
func (c *coordinator) drive(state trial.State) {
	d := c.driveOf(state)
	facts := c.facts(state, d)
	d.finding = facts.Finding
	event, reason := state.Next(facts)
	if event == trial.None {
		return
	}
	next, isDone := state.Step(event, reason, facts.Elapsed)
	if !isDone {
		return
	}
	if err := c.write(next); err != nil {
		return
	}
	c.log("warn", "trial", "subject", state.Subject, "phase", next.Phase, "target", next.Target, "elapsed", facts.Elapsed, "reason", reason)
	c.driveOf(next)
}

// driveOf is what is known of the trial in its present phase and wave.
func (c *coordinator) driveOf(state trial.State) *drive {
	d := c.drives[state.Subject]
	if d != nil && d.number == state.Number && d.phase == state.Phase && d.wave == state.Wave {
		return d
	}
	next := &drive{number: state.Number, phase: state.Phase, wave: state.Wave, phaseAt: c.clock.Steady()}
	if d != nil && d.number == state.Number {
		next.full, next.finding, next.doubled = d.full, d.finding, d.doubled
	} else {
		c.store.read(func(t *tables) { next.doubled = t.voter.DuplicateExecutions() })
	}
	c.drives[state.Subject] = next
	return next
}

func (c *coordinator) facts(state trial.State, d *drive) trial.Facts {
	now := c.clock.Steady()
	facts := trial.Facts{
		Elapsed: time.Duration(now - c.beganAt(state)), InPhase: time.Duration(now - d.phaseAt),
		Finding: c.court.Hearing(state.Subject, state.Number, 0),
	}
	old, fresh := sides(c.listed, state)
	facts.Ready, facts.Old = capacity(c.listed, fresh), capacity(c.listed, old)
	facts.Touch = c.court.Touch(state.Subject, d.full)
	if d.full.Term == 0 {
		facts.Touch.Behind = max(1, facts.Touch.Behind)
	}
	return facts
}
