package membership

// Number orders the proposals for one view: the higher round, then the greater
// name, so that two proposers never share one.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
}

// Below tells whether the number comes before the other.
//
// Example:
//
//	if motion.Number.Below(acceptor.Promised) { refuse() }
func (b Ballot) Less(other Ballot) bool {
	return b.Round < other.Round || b.Round == other.Round && b.Node < other.Node
}

// Motion is a proposer's message: with no Value it asks for a promise, with
// one for its acceptance. It concerns the view that follows Epoch.
type Proposal struct {
	Epoch  Epoch  `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	Value  *View  `cbor:"3,keyasint,omitempty"`
}

// Response is an acceptor's reply. Where it is not OK, Promised or View tell
// what stands against the motion.
type Response struct {
	OK       bool   `cbor:"1,keyasint"`
	Promised Ballot `cbor:"2,keyasint"`
	Accepted Ballot `cbor:"3,keyasint"`
	Value    *View  `cbor:"4,keyasint,omitempty"`
	View     View   `cbor:"5,keyasint"`
}

// Acceptor is one member's part in agreeing on the view that follows its own.
// It is kept on disk before a response is told.
type Acceptor struct {
	Promised Ballot `cbor:"1,keyasint"`
	Accepted Ballot `cbor:"2,keyasint"`
	Value    *View  `cbor:"3,keyasint,omitempty"`
}

// On answers a motion, given the view that the member is in; isChanged tells
// whether the acceptor must be kept first.
//
// Example:
//
//	response, isChanged := acceptor.On(view, motion)
func (a *Acceptor) Respond(view View, proposal Proposal) (response Response, changed bool) {
	response = Response{Promised: a.Promised, Accepted: a.Accepted, Value: a.Value, View: view}
	if proposal.Epoch != view.Epoch || proposal.Ballot.Less(a.Promised) {
		return response, false
	}
	a.Promised = proposal.Ballot
	if proposal.Value != nil {
		a.Accepted, a.Value = proposal.Ballot, proposal.Value
	}
	response.OK, response.Promised = true, a.Promised
	return response, true
}

// Propose seeks agreement on the view that follows: ask sends a motion to all
// members of the view and returns the responses that came. It returns the view
// that was decided, which may be another proposer's.
//
// Example:
//
//	decided, isDecided := membership.Propose(view, wanted, number, ask)
func Propose(view, wanted View, ballot Ballot, send func(Proposal) []Response) (decided View, highest Ballot, ok bool) {
	highest = ballot
	count := func(responses []Response) (approvals int) {
		for _, r := range responses {
			if r.View.Epoch > view.Epoch {
				decided, ok = r.View, true
			}
			if r.OK {
				approvals++
			}
			if highest.Less(r.Promised) {
				highest = r.Promised
			}
		}
		return approvals
	}
	promises := send(Proposal{Epoch: view.Epoch, Ballot: ballot})
	if approvals := count(promises); ok || approvals < view.Majority() {
		return decided, highest, ok
	}
	proposed, highestAccepted := wanted, Ballot{}
	for _, r := range promises {
		if r.OK && r.Value != nil && highestAccepted.Less(r.Accepted) {
			proposed, highestAccepted = *r.Value, r.Accepted
		}
	}
	acceptances := send(Proposal{Epoch: view.Epoch, Ballot: ballot, Value: &proposed})
	if approvals := count(acceptances); ok || approvals < view.Majority() {
		return decided, highest, ok
	}
	return proposed, highest, true
}

// Behind tells whether another member's acceptor knows of a later motion.
//
// Example:
//
//	if lost.Behind(told) { lost = lost.Join(told) }
func (a Acceptor) Behind(other Acceptor) bool {
	return a.Promised.Less(other.Promised) || a.Accepted.Less(other.Accepted)
}

// Join is what a member that lost its acceptor takes from another's: the later
// promise and the later acceptance.
//
// Example:
//
//	lost = lost.Join(told)
func (a Acceptor) Merge(other Acceptor) Acceptor {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted, a.Value = other.Accepted, other.Value
	}
	return a
}
