package messages

import (
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
)

// Claim asks a member to grant the duty under a new term, and to refuse every
// lower one from then on.
type Claim struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
	Term  membership.Term  `cbor:"2,keyasint"`
}

// Renew asks a member to extend its promise to the holder of the term.
type Renew struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
	Term  membership.Term  `cbor:"2,keyasint"`
}

// Release says that the holder of the term has given its lease up.
type Release struct {
	Term membership.Term `cbor:"1,keyasint"`
}

// Contact asks a member whether it counts in the epoch, and how new its fleet is.
type Contact struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// ContactTold is the reply; it counts only where it is OK.
type ContactResponse struct {
	OK    bool         `cbor:"1,keyasint"`
	Fleet feed.Reading `cbor:"2,keyasint"`
}
