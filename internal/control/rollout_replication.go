package control

import (
	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
)

// rolloutStart is the latest possible start of a rollout on this node's monotonic clock.
type rolloutStart struct {
	number    uint64
	startedAt clock.Instant
}

// onRollout persists a state of a rollout, unless it was written under a term lower than
// this member's or a newer state is stored.
func (n *node) onRollout(in messages.WriteRollout, reply func(messages.Ack)) {
	accepted := false
	n.store.enqueue(func(t *tables) []record {
		state := in.State
		if !t.trusted || in.Epoch != t.view.Epoch || !t.view.Contains(n.self) || state.Term < t.term.Number {
			return nil
		}
		stored := t.rollouts[state.Subject]
		if accepted = !stored.NewerThan(state); !accepted || !state.NewerThan(stored) {
			return nil
		}
		n.recordRolloutStart(state)
		t.rollouts[state.Subject] = state
		return []record{{Rollout: &state}}
	}, func() { reply(messages.Ack{OK: accepted}) })
}

// recordRolloutStart records the start of a rollout that its elapsed time implies, if it is
// earlier than the known one.
func (n *node) recordRolloutStart(state rollout.State) {
	startedAt := n.clock.Monotonic() - clock.Instant(state.Elapsed)
	if value, known := n.rolloutStarts.Load(state.Subject); known {
		if start := value.(rolloutStart); start.number == state.Number {
			startedAt = min(startedAt, start.startedAt)
		}
	}
	n.rolloutStarts.Store(state.Subject, rolloutStart{state.Number, startedAt})
}

// rolloutStartedAt returns the start time of a rollout as far as this node knows it.
func (n *node) rolloutStartedAt(state rollout.State) clock.Instant {
	if value, known := n.rolloutStarts.Load(state.Subject); known {
		if start := value.(rolloutStart); start.number == state.Number {
			return start.startedAt
		}
	}
	return n.clock.Monotonic() - clock.Instant(state.Elapsed)
}

func (n *node) onRollouts(in messages.ReadRollouts, reply func(messages.ReadRolloutsResponse)) {
	var rollouts messages.ReadRolloutsResponse
	n.store.enqueue(func(t *tables) []record {
		rollouts.OK, rollouts.FenceTerm = t.trusted && in.Epoch == t.view.Epoch && t.view.Contains(n.self), t.term.Number
		for _, state := range t.rollouts {
			rollouts.States = append(rollouts.States, state)
		}
		return nil
	}, func() { reply(rollouts) })
}

func (t *tables) mergeRollouts(page messages.MemberStateResponse) (records []record) {
	for _, state := range page.Rollouts {
		if state.NewerThan(t.rollouts[state.Subject]) {
			t.rollouts[state.Subject] = state
			records = append(records, record{Rollout: &state})
		}
	}
	return records
}

// collectRollouts reads the rollouts from a majority of the members. It returns the newest
// state of each, whether all members of the majority had the same states, and their
// highest term.
func (n *node) collectRollouts() (states map[string]rollout.State, consistent bool, highestTerm uint64, err error) {
	view, count := n.view(), 0
	states, consistent = map[string]rollout.State{}, true
	copies := map[string]int{}
	callAll(n, view.Members, messages.KindReadRollouts, messages.ReadRollouts{Epoch: view.Epoch}, callTimeout, func(_ string, reply messages.ReadRolloutsResponse) bool {
		if !reply.OK {
			return false
		}
		count++
		highestTerm = max(highestTerm, reply.FenceTerm)
		for _, state := range reply.States {
			newest, known := states[state.Subject]
			switch {
			case !known || state.NewerThan(newest):
				consistent = consistent && !known
				states[state.Subject], copies[state.Subject] = state, 1
			case newest.NewerThan(state):
				consistent = false
			default:
				copies[state.Subject]++
			}
		}
		return count >= view.Majority()
	})
	if count < view.Majority() || count == 0 {
		return nil, false, 0, apierror.New(apierror.ControlPlaneUnavailable, "cannot read the rollouts from a majority of the members")
	}
	for _, copyCount := range copies {
		consistent = consistent && copyCount == count
	}
	return states, consistent, highestTerm, nil
}

// writeRollout persists a state of a rollout on a majority of the members.
func (n *node) writeRollout(state rollout.State) error {
	view := n.view()
	if !n.majorityDone(view, messages.KindWriteRollout, messages.WriteRollout{Epoch: view.Epoch, State: state}, persistTimeout) {
		return apierror.New(apierror.ControlPlaneUnavailable, "cannot persist the rollout on a majority of the members")
	}
	return nil
}

// readRollout reads a rollout from a majority of the members. A state that only some of
// them have is first written to a majority, so that no later read returns an older one.
func (n *node) readRollout(subject string) (state rollout.State, err error) {
	states, consistent, _, err := n.collectRollouts()
	if err != nil {
		return state, err
	}
	state = states[subject]
	if state.Number == 0 {
		return state, apierror.New(apierror.NotFound, subject)
	}
	if !consistent {
		err = n.writeRollout(state)
	}
	return state, err
}
