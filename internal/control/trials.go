package control

import (
	"ploverhitch/internal/apierror"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// heardTrial is when, on this node's steady clock, a trial must have begun.
type heardTrial struct {
	number uint64
	began  timetable.Steady
}

// onTrial keeps a writing of a trial, unless a higher term has fenced it off or
// a newer writing is held.
func (n *node) onTrial(in messages.WriteRollout, answer func(messages.Ack)) {
	isTaken := false
	n.store.enqueue(func(t *tables) []record {
		state := in.State
		if !t.trusted || in.Epoch != t.view.Epoch || !t.view.Contains(n.self) || state.Term < t.term.Number {
			return nil
		}
		held := t.trials[state.Subject]
		if isTaken = !held.Outranks(state); !isTaken || !state.Outranks(held) {
			return nil
		}
		n.hearTrial(state)
		t.trials[state.Subject] = state
		return []record{{Trial: &state}}
	}, func() { answer(messages.Ack{OK: isTaken}) })
}

func (n *node) hearTrial(state trial.State) {
	began := n.clock.Steady() - timetable.Steady(state.Elapsed)
	if known, isKnown := n.trialStarts.Load(state.Subject); isKnown {
		if h := known.(heardTrial); h.number == state.Number {
			began = min(began, h.began)
		}
	}
	n.trialStarts.Store(state.Subject, heardTrial{state.Number, began})
}

// beganAt is when a trial began, as well as this node can tell.
func (n *node) beganAt(state trial.State) timetable.Steady {
	if known, isKnown := n.trialStarts.Load(state.Subject); isKnown {
		if h := known.(heardTrial); h.number == state.Number {
			return h.began
		}
	}
	return n.clock.Steady() - timetable.Steady(state.Elapsed)
}

func (n *node) onTrials(in messages.ReadRollouts, answer func(messages.ReadRolloutsResponse)) {
	var out messages.ReadRolloutsResponse
	n.store.enqueue(func(t *tables) []record {
		out.OK, out.FenceTerm = t.trusted && in.Epoch == t.view.Epoch && t.view.Contains(n.self), t.term.Number
		for _, state := range t.trials {
			out.States = append(out.States, state)
		}
		return nil
	}, func() { answer(out) })
}

func (t *tables) unionTrials(page messages.MemberStateResponse) (out []record) {
	for _, state := range page.Rollouts {
		if state.Outranks(t.trials[state.Subject]) {
			t.trials[state.Subject] = state
			out = append(out, record{Trial: &state})
		}
	}
	return out
}

// gatherTrials reads what a majority holds: the newest writing of each trial,
// and whether all of the majority held the same.
func (n *node) gatherTrials() (states map[string]trial.State, isEven bool, fence uint64, err error) {
	view, count := n.view(), 0
	states, isEven = map[string]trial.State{}, true
	held := map[string]int{}
	callAll(n, view.Members, messages.KindReadRollouts, messages.ReadRollouts{Epoch: view.Epoch}, callTimeout, func(_ string, told messages.ReadRolloutsResponse) bool {
		if !told.OK {
			return false
		}
		count++
		fence = max(fence, told.FenceTerm)
		for _, state := range told.States {
			known, isKnown := states[state.Subject]
			switch {
			case !isKnown || state.Outranks(known):
				isEven = isEven && !isKnown
				states[state.Subject], held[state.Subject] = state, 1
			case known.Outranks(state):
				isEven = false
			default:
				held[state.Subject]++
			}
		}
		return count >= view.Majority()
	})
	if count < view.Majority() || count == 0 {
		return nil, false, 0, apierror.New(apierror.ControlPlaneUnavailable, "reading the trials")
	}
	for _, times := range held {
		isEven = isEven && times == count
	}
	return states, isEven, fence, nil
}

// writeTrial keeps a writing on a majority.
func (n *node) writeTrial(state trial.State) error {
	view := n.view()
	if !n.majorityDone(view, messages.KindWriteRollout, messages.WriteRollout{Epoch: view.Epoch, State: state}, persistTimeout) {
		return apierror.New(apierror.ControlPlaneUnavailable, "keeping the trial")
	}
	return nil
}

// readTrial is the trial as a majority holds it; what only some hold is first
// brought to a majority, so that no later reading goes back.
func (n *node) readTrial(subject string) (state trial.State, err error) {
	states, isEven, _, err := n.gatherTrials()
	if err != nil {
		return state, err
	}
	state = states[subject]
	if state.Number == 0 {
		return state, apierror.New(apierror.NotFound, subject)
	}
	if !isEven {
		err = n.writeTrial(state)
	}
	return state, err
}
