package registry

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

// Index numbers the changes of the item set; 0 is the set before the first change.
type Index uint64

// Change is one numbered change of the item set. Its items replace those with the
// same ID.
type Change struct {
	Index Index         `cbor:"1,keyasint"`
	Items []config.Item `cbor:"2,keyasint,omitempty"`
	// ReplacesAll says that the items are the whole set and that all others are removed.
	ReplacesAll bool `cbor:"3,keyasint,omitempty"`
}

// Acceptor is a replica's acceptor state for the change that follows its set.
type Acceptor struct {
	Promised membership.Ballot `cbor:"1,keyasint"`
	Accepted membership.Ballot `cbor:"2,keyasint"`
	Change   *Change           `cbor:"3,keyasint,omitempty"`
}

// merge returns the higher promise and the higher acceptance of the two.
func (a Acceptor) merge(other Acceptor) Acceptor {
	if a.Promised.Less(other.Promised) {
		a.Promised = other.Promised
	}
	if a.Accepted.Less(other.Accepted) {
		a.Accepted, a.Change = other.Accepted, other.Change
	}
	return a
}

// Prepare asks a replica to promise to accept no lower ballot for the change.
type Prepare struct {
	Epoch  membership.Epoch  `cbor:"1,keyasint"`
	Index  Index             `cbor:"2,keyasint"`
	Ballot membership.Ballot `cbor:"3,keyasint"`
}

// Promise is the response to a Prepare. If it is not OK, Index and Acceptor give
// the reason.
type Promise struct {
	OK     bool   `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
	// Incarnation identifies the replica's acceptor state: a new one is generated when
	// a replica that lost its disk is rebuilt from other replicas.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Index is the index of the replica's set.
	Index    Index    `cbor:"4,keyasint"`
	Acceptor Acceptor `cbor:"5,keyasint"`
	// Legacy is the set that an older build stored, if the replica has no
	// numbered change yet.
	Legacy []config.Item `cbor:"6,keyasint,omitempty"`
	// View is the replica's view, if it is newer than the proposer's.
	View *membership.View `cbor:"7,keyasint,omitempty"`
}

// Preempted reports whether the response shows that no round under this ballot can
// decide the change: the replica knows its decision, or has promised a higher ballot.
func (p Promise) Preempted(prepare Prepare) bool {
	return !p.OK && (p.Index >= prepare.Index || prepare.Ballot.Less(p.Acceptor.Promised))
}

// Accept asks a replica to accept a change under a ballot.
type Accept struct {
	Epoch  membership.Epoch  `cbor:"1,keyasint"`
	Ballot membership.Ballot `cbor:"2,keyasint"`
	Change Change            `cbor:"3,keyasint"`
	// Incarnations are those under which the members promised the ballot: a replica
	// that has lost its state since must not act on that promise.
	Incarnations map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Acceptance is the response to an Accept.
type Acceptance struct {
	OK       bool              `cbor:"1,keyasint"`
	Index    Index             `cbor:"2,keyasint"`
	Promised membership.Ballot `cbor:"3,keyasint"`
}

// Preempted reports whether the response shows that the round's change is already
// decided, or that a higher ballot has been promised meanwhile.
func (a Acceptance) Preempted(accept Accept) bool {
	return !a.OK && (a.Index >= accept.Change.Index || accept.Ballot.Less(a.Promised))
}

// State is a replica's state as reported to a quorum read or a rebuild.
type State struct {
	// OK says that the replica votes in the requester's epoch, Rebuilding that it
	// belongs to the epoch but is not yet rebuilt.
	OK         bool             `cbor:"1,keyasint"`
	Rebuilding bool             `cbor:"5,keyasint,omitempty"`
	Index      Index            `cbor:"2,keyasint"`
	Acceptor   Acceptor         `cbor:"3,keyasint"`
	View       *membership.View `cbor:"4,keyasint,omitempty"`
}
