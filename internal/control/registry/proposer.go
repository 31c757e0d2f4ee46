package registry

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

// Peers sends a proposer's messages to all members of the view and returns the
// responses that arrive before the round times out.
type Peers interface {
	Prepare(Prepare) []Promise
	Accept(Accept) []Acceptance
}

// Round is one attempt to decide the change with a given index.
type Round struct {
	Epoch    membership.Epoch
	Index    Index
	Ballot   membership.Ballot
	Majority int
	// Draft is called once a majority has promised and none of its members has
	// accepted a change yet; legacy are the unnumbered items that they hold.
	Draft func(legacy []config.Item) (change Change, ok bool)
}

// Outcome is the result of a round.
type Outcome struct {
	// Decided is the change decided for the index, whichever member proposed it.
	Decided *Change
	// NothingToPropose says that a majority promised without having accepted a
	// change for the index, and that there was no change to propose.
	NothingToPropose bool
	// HighestBallot is the highest ballot seen, HighestIndex the highest index of a
	// member.
	HighestBallot membership.Ballot
	HighestIndex  Index
	// HighestIndexMember is the member with that index.
	HighestIndexMember string
	// Responses is the number of members that responded to the Prepare, with a
	// promise or a refusal.
	Responses int
	// View is a newer view reported by a member, if any.
	View *membership.View
	// Lagging has the indexes of the members whose sets lack changes before the index.
	Lagging map[string]Index
}

// Run executes the round. If the outcome has no Decided change, the result is
// unknown: a change that was sent may still be decided by a later round.
func (r Round) Run(peers Peers) (outcome Outcome) {
	outcome.HighestBallot = r.Ballot
	promises := peers.Prepare(Prepare{Epoch: r.Epoch, Index: r.Index, Ballot: r.Ballot})
	accept := Accept{Epoch: r.Epoch, Ballot: r.Ballot, Incarnations: map[string]uint64{}}
	var accepted Acceptor
	var legacy []config.Item
	for _, promise := range promises {
		outcome.record(r.Index, promise)
		if !promise.OK {
			continue
		}
		accept.Incarnations[promise.Member] = promise.Incarnation
		legacy = append(legacy, promise.Legacy...)
		if promise.Acceptor.Change != nil && (accepted.Change == nil || accepted.Accepted.Less(promise.Acceptor.Accepted)) {
			accepted = promise.Acceptor
		}
	}
	if len(accept.Incarnations) < r.Majority || outcome.View != nil {
		return outcome
	}
	if accepted.Change != nil {
		accept.Change = *accepted.Change
	} else {
		change, ok := r.Draft(legacy)
		if !ok {
			outcome.NothingToPropose = true
			return outcome
		}
		if change.Index != r.Index {
			// The set has advanced meanwhile: nothing was promised for the new index.
			return outcome
		}
		accept.Change = change
	}
	accepts := 0
	for _, acceptance := range peers.Accept(accept) {
		if acceptance.OK {
			accepts++
		}
		if outcome.HighestBallot.Less(acceptance.Promised) {
			outcome.HighestBallot = acceptance.Promised
		}
	}
	if accepts >= r.Majority {
		outcome.Decided = &accept.Change
	}
	return outcome
}

// record adds the ballot, index and view of a promise or refusal to the outcome.
func (o *Outcome) record(index Index, promise Promise) {
	o.Responses++
	if o.HighestBallot.Less(promise.Acceptor.Promised) {
		o.HighestBallot = promise.Acceptor.Promised
	}
	if promise.Index+1 < index && promise.Member != "" {
		if o.Lagging == nil {
			o.Lagging = map[string]Index{}
		}
		o.Lagging[promise.Member] = promise.Index
	}
	if promise.Index > o.HighestIndex {
		o.HighestIndex, o.HighestIndexMember = promise.Index, promise.Member
	}
	if promise.View != nil && (o.View == nil || promise.View.Epoch > o.View.Epoch) {
		o.View = promise.View
	}
}
