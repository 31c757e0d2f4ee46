package registry

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

// Index numbers the changes of the item set; 0 is the set before the first.
type Index uint64

// Change is one numbered change of the item set. Its items replace those of the
// same id.
type Change struct {
	Index Index         `cbor:"1,keyasint"`
	Items []config.Item `cbor:"2,keyasint,omitempty"`
	// IsWhole says that the items are the whole set, and that all else goes.
	IsWhole bool `cbor:"3,keyasint,omitempty"`
}

// Acceptor is one replica's part in deciding the change that follows its set.
type Acceptor struct {
	Promised membership.Ballot `cbor:"1,keyasint"`
	Accepted membership.Ballot `cbor:"2,keyasint"`
	Change   *Change           `cbor:"3,keyasint,omitempty"`
}

// join takes the later promise and the later acceptance of the two.
func (a Acceptor) join(other Acceptor) Acceptor {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted, a.Change = other.Accepted, other.Change
	}
	return a
}

// Prepare asks a replica to promise that it accepts no lower ballot for the
// change.
type Prepare struct {
	Epoch  membership.Epoch  `cbor:"1,keyasint"`
	Index  Index             `cbor:"2,keyasint"`
	Ballot membership.Ballot `cbor:"3,keyasint"`
}

// Promise answers a Prepare. Where it is not OK, Index and Acceptor tell what
// stands against it.
type Promise struct {
	OK     bool   `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
	// Incarnation names the life of the replica's memory: it is drawn anew when
	// a replica that lost its disk was rebuilt from others.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Index is that of the replica's set.
	Index    Index    `cbor:"4,keyasint"`
	Acceptor Acceptor `cbor:"5,keyasint"`
	// Legacy is the set of a replica that has no numbered change yet, as an
	// older build of the program left it.
	Legacy []config.Item `cbor:"6,keyasint,omitempty"`
	// View is the replica's, where it is newer than the proposer's.
	View *membership.View `cbor:"7,keyasint,omitempty"`
}

// IsLost tells whether the answer shows that no round under this ballot can decide
// the change: the replica knows a decision of it, or promised a higher ballot.
//
// Example:
//
//	if promise.IsLost(prepare) { tryAgain() }
func (p Promise) IsLost(prepare Prepare) bool {
	return !p.OK && (p.Index >= prepare.Index || prepare.Ballot.Less(p.Acceptor.Promised))
}

// Accept asks a replica to accept a change under a ballot.
type Accept struct {
	Epoch  membership.Epoch  `cbor:"1,keyasint"`
	Ballot membership.Ballot `cbor:"2,keyasint"`
	Change Change            `cbor:"3,keyasint"`
	// Incarnations are those under which the members promised the ballot: a
	// replica that has lost its memory since must not act on that promise.
	Incarnations map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Acceptance answers an Accept.
type Acceptance struct {
	OK       bool              `cbor:"1,keyasint"`
	Index    Index             `cbor:"2,keyasint"`
	Promised membership.Ballot `cbor:"3,keyasint"`
}

// IsLost tells whether the answer shows that the round's change is decided already,
// or that a higher ballot was promised meanwhile.
//
// Example:
//
//	if acceptance.IsLost(accept) { tryAgain() }
func (a Acceptance) IsLost(accept Accept) bool {
	return !a.OK && (a.Index >= accept.Change.Index || accept.Ballot.Less(a.Promised))
}

// State is what a replica tells about its place, for a quorum read or a rebuild.
type State struct {
	// OK says that the replica takes part in decisions of the asker's epoch,
	// IsRebuilding that it is in the epoch and not whole yet.
	OK           bool             `cbor:"1,keyasint"`
	IsRebuilding bool             `cbor:"5,keyasint,omitempty"`
	Index        Index            `cbor:"2,keyasint"`
	Acceptor     Acceptor         `cbor:"3,keyasint"`
	View         *membership.View `cbor:"4,keyasint,omitempty"`
}
