package registry

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

// Peers carries a proposer's messages to all members of the view and returns the
// answers that came while the round is still young enough to count them.
type Peers interface {
	Prepare(Prepare) []Promise
	Accept(Accept) []Acceptance
}

// Round is one attempt to have the change of one number decided.
type Round struct {
	Epoch    membership.Epoch
	Index    Index
	Ballot   membership.Ballot
	Majority int
	// Draft is called once a majority has promised and none of them has accepted
	// a change yet; legacy are unnumbered items that they hold.
	Draft func(legacy []config.Item) (change Change, isAny bool)
}

// Outcome is what a round came to.
type Outcome struct {
	// Decided is the change that the number has, whoever proposed it.
	Decided *Change
	// IsQuiet says that a majority promised, held no change for the number, and
	// there was none to propose.
	IsQuiet bool
	// Highest is the highest ballot met, Ahead the highest index of a member.
	Highest membership.Ballot
	Ahead   Index
	// AheadOf is the member of that index.
	AheadOf string
	// Heard is how many members answered the Prepare, whatever they said.
	Heard int
	// View is a member's newer view.
	View *membership.View
	// Behind are the indexes of members whose set lacks changes before the number.
	Behind map[string]Index
}

// Run plays the round. Without a Decided change nothing is known: a change that
// was sent may still be decided by a later round.
//
// Example:
//
//	outcome := registry.Round{...}.Run(peers)
func (r Round) Run(peers Peers) (outcome Outcome) {
	outcome.Highest = r.Ballot
	promises := peers.Prepare(Prepare{Epoch: r.Epoch, Index: r.Index, Ballot: r.Ballot})
	accept := Accept{Epoch: r.Epoch, Ballot: r.Ballot, Incarnations: map[string]uint64{}}
	var accepted Acceptor
	var legacy []config.Item
	for _, promise := range promises {
		outcome.hear(r.Index, promise)
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
		change, isAny := r.Draft(legacy)
		if !isAny {
			outcome.IsQuiet = true
			return outcome
		}
		if change.Index != r.Index {
			// The set moved on meanwhile: nothing was promised for that number.
			return outcome
		}
		accept.Change = change
	}
	count := 0
	for _, acceptance := range peers.Accept(accept) {
		if acceptance.OK {
			count++
		}
		if outcome.Highest.Less(acceptance.Promised) {
			outcome.Highest = acceptance.Promised
		}
	}
	if count >= r.Majority {
		outcome.Decided = &accept.Change
	}
	return outcome
}

// hear notes what a promise, or its refusal, tells beside the promise itself.
func (o *Outcome) hear(index Index, promise Promise) {
	o.Heard++
	if o.Highest.Less(promise.Acceptor.Promised) {
		o.Highest = promise.Acceptor.Promised
	}
	if promise.Index+1 < index && promise.Member != "" {
		if o.Behind == nil {
			o.Behind = map[string]Index{}
		}
		o.Behind[promise.Member] = promise.Index
	}
	if promise.Index > o.Ahead {
		o.Ahead, o.AheadOf = promise.Index, promise.Member
	}
	if promise.View != nil && (o.View == nil || promise.View.Epoch > o.View.Epoch) {
		o.View = promise.View
	}
}
