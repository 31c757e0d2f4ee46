package membership

// Number orders the proposals for one view: the higher round, then the greater
// name, so that two proposers never share one.
type Number struct {
	Round uint64 `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
}

// Below tells whether the number comes before the other.
//
// Example:
//
//	if motion.Number.Below(acceptor.Promised) { refuse() }
func (n Number) Below(other Number) bool {
	return n.Round < other.Round || n.Round == other.Round && n.Node < other.Node
}

// Motion is a proposer's message: with no Value it asks for a promise, with
// one for its acceptance. It concerns the view that follows Epoch.
type Motion struct {
	Epoch  Epoch  `cbor:"1,keyasint"`
	Number Number `cbor:"2,keyasint"`
	Value  *View  `cbor:"3,keyasint,omitempty"`
}

// Response is an acceptor's reply. Where it is not OK, Promised or View tell
// what stands against the motion.
type Response struct {
	OK       bool   `cbor:"1,keyasint"`
	Promised Number `cbor:"2,keyasint"`
	Number   Number `cbor:"3,keyasint"`
	Value    *View  `cbor:"4,keyasint,omitempty"`
	View     View   `cbor:"5,keyasint"`
}

// Acceptor is one member's part in agreeing on the view that follows its own.
// It is kept on disk before a response is told.
type Acceptor struct {
	Promised Number `cbor:"1,keyasint"`
	Number   Number `cbor:"2,keyasint"`
	Value    *View  `cbor:"3,keyasint,omitempty"`
}

// On answers a motion, given the view that the member is in; isChanged tells
// whether the acceptor must be kept first.
//
// Example:
//
//	response, isChanged := acceptor.On(view, motion)
func (a *Acceptor) On(view View, motion Motion) (response Response, isChanged bool) {
	response = Response{Promised: a.Promised, Number: a.Number, Value: a.Value, View: view}
	if motion.Epoch != view.Epoch || motion.Number.Below(a.Promised) {
		return response, false
	}
	a.Promised = motion.Number
	if motion.Value != nil {
		a.Number, a.Value = motion.Number, motion.Value
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
func Propose(view, wanted View, number Number, ask func(Motion) []Response) (decided View, highest Number, isDecided bool) {
	highest = number
	count := func(responses []Response) (oks int) {
		for _, r := range responses {
			if r.View.Epoch > view.Epoch {
				decided, isDecided = r.View, true
			}
			if r.OK {
				oks++
			}
			if highest.Below(r.Promised) {
				highest = r.Promised
			}
		}
		return oks
	}
	promises := ask(Motion{Epoch: view.Epoch, Number: number})
	if oks := count(promises); isDecided || oks < view.Majority() {
		return decided, highest, isDecided
	}
	value, best := wanted, Number{}
	for _, r := range promises {
		if r.OK && r.Value != nil && best.Below(r.Number) {
			value, best = *r.Value, r.Number
		}
	}
	accepts := ask(Motion{Epoch: view.Epoch, Number: number, Value: &value})
	if oks := count(accepts); isDecided || oks < view.Majority() {
		return decided, highest, isDecided
	}
	return value, highest, true
}

// Behind tells whether another member's acceptor knows of a later motion.
//
// Example:
//
//	if lost.Behind(told) { lost = lost.Join(told) }
func (a Acceptor) Behind(other Acceptor) bool {
	return a.Promised.Below(other.Promised) || a.Number.Below(other.Number)
}

// Join is what a member that lost its acceptor takes from another's: the later
// promise and the later acceptance.
//
// Example:
//
//	lost = lost.Join(told)
func (a Acceptor) Join(other Acceptor) Acceptor {
	if a.Promised.Below(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Number.Below(other.Number) {
		a.Number, a.Value = other.Number, other.Value
	}
	return a
}
