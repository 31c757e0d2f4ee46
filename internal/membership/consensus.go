package membership

// Ballot orders the proposals for one view: by round, then by node name, so that
// two proposers never use the same ballot.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	return b.Round < other.Round || b.Round == other.Round && b.Node < other.Node
}

// Proposal is a proposer's request about the view that follows Epoch. Without a
// Value it asks for a promise (prepare phase), with one for acceptance.
type Proposal struct {
	Epoch  Epoch  `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	Value  *View  `cbor:"3,keyasint,omitempty"`
}

// Response is an acceptor's response to a Proposal. If it is not OK, Promised or
// View show why the proposal was rejected.
type Response struct {
	OK       bool   `cbor:"1,keyasint"`
	Promised Ballot `cbor:"2,keyasint"`
	Accepted Ballot `cbor:"3,keyasint"`
	Value    *View  `cbor:"4,keyasint,omitempty"`
	View     View   `cbor:"5,keyasint"`
}

// Acceptor is the Paxos acceptor state of one member for the view that follows its
// own. It is written to disk before a response is sent.
type Acceptor struct {
	Promised Ballot `cbor:"1,keyasint"`
	Accepted Ballot `cbor:"2,keyasint"`
	Value    *View  `cbor:"3,keyasint,omitempty"`
}

// Respond handles a proposal in the member's current view. If changed is true, the
// acceptor must be persisted before the response is sent.
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

// Propose runs one round of agreement on the view that follows view. send sends a
// proposal to all members of the view and returns the responses received. Propose
// returns the decided view, which may be another proposer's, and the highest ballot
// seen.
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

// Behind reports whether another member's acceptor has seen a later ballot.
func (a Acceptor) Behind(other Acceptor) bool {
	return a.Promised.Less(other.Promised) || a.Accepted.Less(other.Accepted)
}

// Merge returns the later promise and the later accepted proposal of the two. A
// member that lost its acceptor state rebuilds it from the others this way.
func (a Acceptor) Merge(other Acceptor) Acceptor {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted, a.Value = other.Accepted, other.Value
	}
	return a
}
