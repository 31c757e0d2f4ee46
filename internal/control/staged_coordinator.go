package control

import (
	"maps"
	"slices"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/timetable"
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

func (n *node) onStagedChange(in messages.StageOrder, reply func(messages.Ordered)) {
	n.runCommand(reply, func(c *coordinator) (apierror.Kind, string) {
		if in.IsHalt {
			return c.haltStagedChange(in)
		}
		return c.startStagedChange(in)
	})
}

// startStagedChange handles an operator's command to start a staged change.
func (c *coordinator) startStagedChange(in messages.StageOrder) (kind apierror.Kind, detail string) {
	subject := rollout.StagedPrefix + in.Name
	state := c.states[subject]
	sameChange := state.Number > 0 && sameItems(state.Items, in.Items)
	if sameChange && (state.Phase.IsActive() || c.sinceCommand(state) < 2*c.rolloutPlan().CommandTimeout) {
		c.recordRepeat(state)
		return apierror.None, ""
	}
	for _, other := range c.states {
		if other.IsStaged() && other.Phase.IsActive() {
			return apierror.OtherOrder, other.Subject + " is in progress"
		}
		if name := other.RevertedItem(in.Items); name != "" {
			return apierror.OtherOrder, "the version of " + name + " was reverted before and is used up"
		}
	}
	configuration, err := c.readConfig()
	if err != nil {
		return apierror.Gone, ""
	}
	newer, changed, err := configuration.Accept(in.Items)
	if err == nil {
		err = c.checkSites(changed)
	}
	switch {
	case err != nil:
		return apierror.BadManifest, err.Error()
	case len(newer) != len(in.Items):
		return apierror.OtherOrder, "the configuration already contains this or a newer version of an item"
	}
	waves := c.planWaves(in.First)
	if waves == nil {
		return apierror.UnknownSubject, "node " + in.First + " is not known or does not report"
	}
	state.Subject = subject
	next, permitted := state.Start(in.Name, timetable.Span(in.Duration))
	if !permitted {
		return apierror.OtherOrder, ""
	}
	next.Items, next.Waves = in.Items, waves
	if c.commitState(next) != nil {
		return apierror.Gone, ""
	}
	c.progressOf(next)
	c.publish()
	return apierror.None, ""
}

// haltStagedChange handles an operator's command to halt a staged change.
func (c *coordinator) haltStagedChange(in messages.StageOrder) (kind apierror.Kind, detail string) {
	state, known := c.states[rollout.StagedPrefix+in.Name]
	if !known {
		return apierror.UnknownSubject, in.Name
	}
	if !state.Phase.IsActive() && state.Reason == haltedByOperator {
		return apierror.None, ""
	}
	next, permitted := state.Apply(rollout.Halted, haltedByOperator, time.Duration(c.clock.Steady()-c.rolloutStartedAt(state)))
	if !permitted {
		return apierror.OtherOrder, "the staged change has ended"
	}
	if c.commitState(next) != nil {
		return apierror.Gone, ""
	}
	c.publish()
	return apierror.None, ""
}

func sameItems(a, b []config.Item) bool {
	return slices.EqualFunc(a, b, func(x, y config.Item) bool {
		return x.ID == y.ID && x.Version == y.Version && string(x.Body) == string(y.Body) && x.Host == y.Host && x.Dropped == y.Dropped
	})
}

// planWaves distributes the reporting proxies over waves; first is in the first wave.
func (c *coordinator) planWaves(first string) [][]string {
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(c.proxyZones)) {
		if c.detector.IsFresh(node, nodeSilenceTimeout) {
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
	now := c.clock.Steady()
	facts := rollout.StagedObservation{
		Elapsed: time.Duration(now - c.rolloutStartedAt(state)), InWave: time.Duration(now - progress.phaseStartedAt),
		Finding: c.detector.Hearing(state.Subject, state.Number, state.Wave),
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
		facts.ReportMissing = facts.ReportMissing || !c.detector.IsFresh(node, waveReportMaxAge)
		if facts.InWave > nodeSilenceTimeout && !c.detector.IsFresh(node, nodeSilenceTimeout) {
			facts.SilentNode = node
		}
	}
	if state.Phase == rollout.Shifting {
		if facts.Committed = committed; !committed {
			facts.Committed = c.modify(state.Items) == nil
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
func stageGrant(state rollout.State) feed.Stage {
	return feed.Stage{Subject: state.Subject, Number: state.Number, Wave: state.Wave, Nodes: state.ReachedNodes(), Items: state.Items}
}

func (c *coordinator) stageGrants() (grants []feed.Stage) {
	for _, state := range c.states {
		if state.IsStaged() && state.Phase.IsActive() {
			grants = append(grants, stageGrant(state))
		}
	}
	return grants
}

func sameStages(a, b []feed.Stage) bool {
	return slices.EqualFunc(a, b, func(x, y feed.Stage) bool {
		return x.Subject == y.Subject && x.Number == y.Number && x.Wave == y.Wave && len(x.Nodes) == len(y.Nodes)
	})
}
