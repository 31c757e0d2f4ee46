package control

import (
	"ploverhitch/internal/apierror"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// heardTrial is when, on this node's steady clock, a trial must have begun.
type rolloutStart struct {
	number    uint64
	startedAt timetable.Steady
}

// onTrial keeps a writing of a trial, unless a higher term has fenced it off or
// a newer writing is held.
func (n *node) onRollout(in messages.Trial, reply func(messages.Done)) {
	accepted := false
	n.store.enqueue(func(t *tables) []record {
		state := in.State
		if !t.trusted || in.Epoch != t.view.Epoch || !t.view.Has(n.self) || state.Term < t.term.Number {
			return nil
		}
		stored := t.rollouts[state.Subject]
		if accepted = !stored.Outranks(state); !accepted || !state.Outranks(stored) {
			return nil
		}
		n.recordRolloutStart(state)
		t.rollouts[state.Subject] = state
		return []record{{Rollout: &state}}
	}, func() { reply(messages.Done{OK: accepted}) })
}

func (n *node) recordRolloutStart(state trial.State) {
	startedAt := n.clock.Steady() - timetable.Steady(state.Elapsed)
	if value, known := n.rolloutStarts.Load(state.Subject); known {
		if start := value.(rolloutStart); start.number == state.Number {
			startedAt = min(startedAt, start.startedAt)
		}
	}
	n.rolloutStarts.Store(state.Subject, rolloutStart{state.Number, startedAt})
}

// beganAt is when a trial began, as well as this node can tell.
func (n *node) rolloutStartedAt(state trial.State) timetable.Steady {
	if value, known := n.rolloutStarts.Load(state.Subject); known {
		if start := value.(rolloutStart); start.number == state.Number {
			return start.startedAt
		}
	}
	return n.clock.Steady() - timetable.Steady(state.Elapsed)
}

func (n *node) onRollouts(in messages.Trials, reply func(messages.TrialsTold)) {
	var out messages.TrialsTold
	n.store.enqueue(func(t *tables) []record {
		out.OK, out.Fence = t.trusted && in.Epoch == t.view.Epoch && t.view.Has(n.self), t.term.Number
		for _, state := range t.rollouts {
			out.States = append(out.States, state)
		}
		return nil
	}, func() { reply(out) })
}

func (t *tables) mergeRollouts(page messages.Page) (records []record) {
	for _, state := range page.Trials {
		if state.Outranks(t.rollouts[state.Subject]) {
			t.rollouts[state.Subject] = state
			records = append(records, record{Rollout: &state})
		}
	}
	return records
}

// gatherTrials reads what a majority holds: the newest writing of each trial,
// and whether all of the majority held the same.
func (n *node) collectRollouts() (states map[string]trial.State, consistent bool, highestTerm uint64, err error) {
	view, count := n.view(), 0
	states, consistent = map[string]trial.State{}, true
	copies := map[string]int{}
	callAll(n, view.Members, messages.KindTrials, messages.Trials{Epoch: view.Epoch}, callTimeout, func(_ string, reply messages.TrialsTold) bool {
		if !reply.OK {
			return false
		}
		count++
		highestTerm = max(highestTerm, reply.Fence)
		for _, state := range reply.States {
			newest, known := states[state.Subject]
			switch {
			case !known || state.Outranks(newest):
				consistent = consistent && !known
				states[state.Subject], copies[state.Subject] = state, 1
			case newest.Outranks(state):
				consistent = false
			default:
				copies[state.Subject]++
			}
		}
		return count >= view.Majority()
	})
	if count < view.Majority() || count == 0 {
		return nil, false, 0, apierror.New(apierror.Gone, "reading the trials")
	}
	for _, copyCount := range copies {
		consistent = consistent && copyCount == count
	}
	return states, consistent, highestTerm, nil
}

// writeTrial keeps a writing on a majority.
func (n *node) writeRollout(state trial.State) error {
	view := n.view()
	if !n.majorityDone(view, messages.KindTrial, messages.Trial{Epoch: view.Epoch, State: state}, persistTimeout) {
		return apierror.New(apierror.Gone, "keeping the trial")
	}
	return nil
}

// readTrial is the trial as a majority holds it; what only some hold is first
// brought to a majority, so that no later reading goes back.
func (n *node) readRollout(subject string) (state trial.State, err error) {
	states, consistent, _, err := n.collectRollouts()
	if err != nil {
		return state, err
	}
	state = states[subject]
	if state.Number == 0 {
		return state, apierror.New(apierror.UnknownSubject, subject)
	}
	if !consistent {
		err = n.writeRollout(state)
	}
	return state, err
}
