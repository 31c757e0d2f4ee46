package control

import (
	"maps"
	"slices"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
)

const (
	// nodeSilenceTimeout is the time without a report after which a node that the staged
	// change has reached counts as silent.
	nodeSilenceTimeout = 2500 * time.Millisecond
	// waveReportMaxAge is how old the last report of such a node may be for the next wave
	// to start.
	waveReportMaxAge = time.Second
	// haltedByOperator is the stored reason of a halted staged change.
	haltedByOperator = "halted by the operator"
)

func (n *node) onStagedChange(in messages.StagedChange, reply func(messages.OrderResponse)) {
	n.runCommand(in.Base, reply, func(c *coordinator) (apierror.Kind, string) {
		if in.Halt {
			return c.haltStagedChange(in)
		}
		return c.startStagedChange(in)
	})
}

// startStagedChange handles an operator's command to start a staged change.
func (c *coordinator) startStagedChange(in messages.StagedChange) (kind apierror.Kind, detail string) {
	subject := rollout.StagedPrefix + in.Name
	state := c.states[subject]
	sameChange := state.Number > 0 && sameItems(state.Items, in.Items)
	if sameChange && (state.Phase.IsActive() || c.sinceCommand(state) < 2*c.rolloutPlan().CommandTimeout) {
		c.recordRepeat(state)
		return apierror.None, ""
	}
	for _, other := range c.states {
		if other.IsStaged() && other.Phase.IsActive() {
			return apierror.OrderInProgress, other.Subject + " is in progress"
		}
		if name := other.RevertedItem(in.Items); name != "" {
			return apierror.OrderInProgress, "the version of " + name + " was reverted before and is used up"
		}
	}
	configuration, err := c.readConfig()
	if err != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	newer, changed, err := configuration.ValidateUpdate(in.Items)
	if err == nil {
		err = c.checkSites(changed)
	}
	switch {
	case err != nil:
		return apierror.InvalidConfiguration, err.Error()
	case len(newer) != len(in.Items):
		return apierror.OrderInProgress, "the configuration already contains this or a newer version of an item"
	}
	waves := c.planWaves(in.First)
	if waves == nil {
		return apierror.NotFound, "node " + in.First + " is not known or does not report"
	}
	state.Subject = subject
	next, permitted := state.Start(in.Name, clock.Duration(in.Duration))
	if !permitted {
		return apierror.OrderInProgress, ""
	}
	next.Items, next.Waves = in.Items, waves
	if c.commitState(next) != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	c.progressOf(next)
	c.publish()
	return apierror.None, ""
}

// haltStagedChange handles an operator's command to halt a staged change.
func (c *coordinator) haltStagedChange(in messages.StagedChange) (kind apierror.Kind, detail string) {
	state, known := c.states[rollout.StagedPrefix+in.Name]
	if !known {
		return apierror.NotFound, in.Name
	}
	if !state.Phase.IsActive() && state.Reason == haltedByOperator {
		return apierror.None, ""
	}
	if state.Phase.IsActive() && state.Phase != rollout.Canary {
		// The configuration may have the change already, and then no halt takes it back.
		return apierror.OrderInProgress, "the staged change has passed its last wave and comes into force; send an ordinary change to take it back"
	}
	next, permitted := state.Apply(rollout.Halted, haltedByOperator, time.Duration(c.clock.Monotonic()-c.rolloutStartedAt(state)))
	if !permitted {
		return apierror.OrderInProgress, "the staged change has ended"
	}
	if c.commitState(next) != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	c.publish()
	return apierror.None, ""
}

func sameItems(a, b []config.Item) bool {
	return slices.EqualFunc(a, b, func(x, y config.Item) bool {
		return x.ID == y.ID && x.Version == y.Version && string(x.Body) == string(y.Body) && x.Host == y.Host && x.Removed == y.Removed
	})
}

// planWaves distributes the reporting proxies over waves; first is in the first wave.
func (c *coordinator) planWaves(first string) [][]string {
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(c.proxyZones)) {
		if c.detector.ReportedWithin(node, nodeSilenceTimeout) {
			nodes = append(nodes, node)
		}
	}
	if first == "" && len(nodes) > 0 {
		first = nodes[0]
	}
	if !slices.Contains(nodes, first) {
		return nil
	}
	return rollout.PlanWaves(first, nodes, func(node string) string { return c.proxyZones[node] })
}

// advanceStagedChange moves a staged change to its next wave or phase if the facts permit
// it.
func (c *coordinator) advanceStagedChange(state rollout.State) {
	progress := c.progressOf(state)
	now := c.clock.Monotonic()
	facts := rollout.StagedObservation{
		Elapsed: time.Duration(now - c.rolloutStartedAt(state)), InWave: time.Duration(now - progress.phaseStartedAt),
		Finding: c.detector.Evaluate(state.Subject, state.Number, state.Wave),
	}
	progress.finding = facts.Finding
	duplicates := 0
	var newer []config.Item
	committed := true
	c.store.read(func(t *tables) {
		duplicates, newer = t.voter.DuplicateExecutions(), t.configuration().Newer(state.Items)
		for _, item := range state.Items {
			stored := t.configuration()[item.ID]
			committed = committed && stored.Version == item.Version && string(stored.Body) == string(item.Body)
		}
	})
	facts.DuplicateRun = duplicates > progress.knownDuplicates
	facts.Superseded = len(newer) < len(state.Items)
	for _, node := range state.ReachedNodes() {
		facts.ReportMissing = facts.ReportMissing || !c.detector.ReportedWithin(node, waveReportMaxAge)
		if facts.InWave > nodeSilenceTimeout && !c.detector.ReportedWithin(node, nodeSilenceTimeout) {
			facts.SilentNode = node
		}
	}
	if state.Phase == rollout.Shifting {
		if facts.Committed = committed; !committed {
			facts.Committed = c.modify(state.Items, internalCaller{}) == nil
		}
	}
	event, reason := state.NextStaged(facts)
	if event == rollout.NoEvent {
		return
	}
	next, permitted := state.Apply(event, reason, facts.Elapsed)
	if !permitted || c.commitState(next) != nil {
		return
	}
	c.log("warn", "staged change advanced", "subject", state.Subject, "phase", next.Phase, "wave", next.Wave, "reason", reason)
	c.publish()
}

// stageGrant returns the form in which a staged change is published to the proxies: a
// grant, like a share.
func stageGrant(state rollout.State) feed.StagedChange {
	return feed.StagedChange{Subject: state.Subject, Number: state.Number, Wave: state.Wave, Nodes: state.ReachedNodes(), Items: state.Items}
}

func (c *coordinator) stageGrants() (grants []feed.StagedChange) {
	for _, state := range c.states {
		if state.IsStaged() && state.Phase.IsActive() {
			grants = append(grants, stageGrant(state))
		}
	}
	return grants
}

func sameStages(a, b []feed.StagedChange) bool {
	return slices.EqualFunc(a, b, func(x, y feed.StagedChange) bool {
		return x.Subject == y.Subject && x.Number == y.Number && x.Wave == y.Wave && len(x.Nodes) == len(y.Nodes)
	})
}
