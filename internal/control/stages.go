package control

import (
	"maps"
	"slices"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

const (
	// silentSpan is after how long without a report a reached node is silent.
	silentSpan = 2500 * time.Millisecond
	// heardSpan is how old its last report may be for a wave to go on.
	heardSpan = time.Second
	// haltedReason is why a change that was halted ended.
	haltedReason = "halted by the operator"
)

func (n *node) onStage(in messages.StagedChange, answer func(messages.OrderResponse)) {
	n.decide(answer, func(c *coordinator) (apierror.Kind, string) {
		if in.Halt {
			return c.halt(in)
		}
		return c.stage(in)
	})
}

// stage takes an order for a staged change.
func (c *coordinator) stage(in messages.StagedChange) (kind apierror.Kind, detail string) {
	subject := trial.StagePrefix + in.Name
	state := c.states[subject]
	isSame := state.Number > 0 && sameItems(state.Items, in.Items)
	if isSame && (state.Phase.IsActive() || c.sinceOrder(state) < 2*c.plan().Ack) {
		c.noteRepeat(state)
		return apierror.None, ""
	}
	for _, other := range c.states {
		if other.IsStaged() && other.Phase.IsActive() {
			return apierror.OrderInProgress, other.Subject + " is under way"
		}
		if name := other.UsedUp(in.Items); name != "" {
			return apierror.OrderInProgress, "the version of " + name + " fell back before and is used up"
		}
	}
	book, err := c.readConfig()
	if err != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	newer, whole, err := book.Accept(in.Items)
	if err == nil {
		err = c.checkSites(whole)
	}
	switch {
	case err != nil:
		return apierror.InvalidManifest, err.Error()
	case len(newer) != len(in.Items):
		return apierror.OrderInProgress, "the manifest holds as new a version of an item"
	}
	waves := c.waves(in.First)
	if waves == nil {
		return apierror.NotFound, "node " + in.First + " is not known to be in touch"
	}
	state.Subject = subject
	next, isDone := state.Order(in.Name, timetable.Span(in.Duration))
	if !isDone {
		return apierror.OrderInProgress, ""
	}
	next.Items, next.Waves = in.Items, waves
	if c.write(next) != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	c.driveOf(next)
	c.publish()
	return apierror.None, ""
}

func (c *coordinator) halt(in messages.StagedChange) (kind apierror.Kind, detail string) {
	state, isKnown := c.states[trial.StagePrefix+in.Name]
	if !isKnown {
		return apierror.NotFound, in.Name
	}
	if !state.Phase.IsActive() && state.Reason == haltedReason {
		return apierror.None, ""
	}
	next, isDone := state.Step(trial.Halted, haltedReason, time.Duration(c.clock.Steady()-c.beganAt(state)))
	if !isDone {
		return apierror.OrderInProgress, "it has ended"
	}
	if c.write(next) != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	c.publish()
	return apierror.None, ""
}

func sameItems(a, z []config.Item) bool {
	return slices.EqualFunc(a, z, func(x, y config.Item) bool {
		return x.ID == y.ID && x.Version == y.Version && string(x.Body) == string(y.Body) && x.Host == y.Host && x.Dropped == y.Dropped
	})
}

// waves lays the waves over the proxies in touch, beginning with the one named.
func (c *coordinator) waves(first string) [][]string {
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(c.cells)) {
		if c.court.IsFresh(node, silentSpan) {
			nodes = append(nodes, node)
		}
	}
	if first == "" && len(nodes) > 0 {
		first = nodes[0]
	}
	if !slices.Contains(nodes, first) {
		return nil
	}
	return trial.Waves(first, nodes, func(node string) string { return c.cells[node] })
}

// driveStage takes one step of a staged change, where the facts come to one.
func (c *coordinator) driveStage(state trial.State) {
	d := c.driveOf(state)
	now := c.clock.Steady()
	facts := trial.StageFacts{
		Elapsed: time.Duration(now - c.beganAt(state)), InWave: time.Duration(now - d.phaseAt),
		Finding: c.court.Hearing(state.Subject, state.Number, state.Wave),
	}
	d.finding = facts.Finding
	doubled := 0
	var newer []config.Item
	isHeld := true
	c.store.read(func(t *tables) {
		doubled, newer = t.voter.DuplicateExecutions(), t.book().Newer(state.Items)
		for _, item := range state.Items {
			held := t.book()[item.ID]
			isHeld = isHeld && held.Version == item.Version && string(held.Body) == string(item.Body)
		}
	})
	facts.IsDoubled = doubled > d.doubled
	facts.IsSuperseded = len(newer) < len(state.Items)
	for _, node := range state.Reached() {
		facts.IsUnheard = facts.IsUnheard || !c.court.IsFresh(node, heardSpan)
		if facts.InWave > silentSpan && !c.court.IsFresh(node, silentSpan) {
			facts.Silent = node
		}
	}
	if state.Phase == trial.Shifting {
		if facts.IsCommitted = isHeld; !isHeld {
			facts.IsCommitted = c.modify(state.Items) == nil
		}
	}
	event, reason := state.NextWave(facts)
	if event == trial.None {
		return
	}
	next, isDone := state.Step(event, reason, facts.Elapsed)
	if !isDone || c.write(next) != nil {
		return
	}
	c.log("warn", "staged change", "subject", state.Subject, "phase", next.Phase, "wave", next.Wave, "reason", reason)
	c.publish()
}

// stageOf is how a staged change is told to the proxies: a grant like a share.
func stageOf(state trial.State) feed.Stage {
	return feed.Stage{Subject: state.Subject, Number: state.Number, Wave: state.Wave, Nodes: state.Reached(), Items: state.Items}
}

func (c *coordinator) stages() (out []feed.Stage) {
	for _, state := range c.states {
		if state.IsStaged() && state.Phase.IsActive() {
			out = append(out, stageOf(state))
		}
	}
	return out
}

func sameStages(a, z []feed.Stage) bool {
	return slices.EqualFunc(a, z, func(x, y feed.Stage) bool {
		return x.Subject == y.Subject && x.Number == y.Number && x.Wave == y.Wave && len(x.Nodes) == len(y.Nodes)
	})
}
