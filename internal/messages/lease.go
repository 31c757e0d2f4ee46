package messages

import (
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
)

// Claim asks a member to grant the leader lease under a new term and to refuse every
// lower term from then on.
type Claim struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
	Term  membership.Term  `cbor:"2,keyasint"`
}

// Renew asks a member to extend its lease promise to the leader of the term.
type Renew struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
	Term  membership.Term  `cbor:"2,keyasint"`
}

// Release reports that the leader of the term has released its lease.
type Release struct {
	Term membership.Term `cbor:"1,keyasint"`
}

// Contact asks a member whether it counts toward a quorum in the epoch, and which
// version of the fleet state it has.
type Contact struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// ContactResponse is the response to Contact; it counts only if it is OK.
type ContactResponse struct {
	OK    bool              `cbor:"1,keyasint"`
	Fleet feed.FleetVersion `cbor:"2,keyasint"`
}
