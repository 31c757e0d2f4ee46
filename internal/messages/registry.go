package messages

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

// Learn tells a node decided changes of the item set.
type Learn struct {
	From    string            `cbor:"1,keyasint"`
	Changes []registry.Change `cbor:"2,keyasint,omitempty"`
}

// State asks a member for the place of its replica.
type ReplicaState struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// CatchUp asks for the changes that follow From; with IsPages, for the page of the
// set that follows the item After. IsTail asks for the changes even where the set
// would be cheaper, as after its pages were read.
type CatchUp struct {
	From        registry.Index `cbor:"1,keyasint"`
	Paged       bool           `cbor:"2,keyasint,omitempty"`
	After       *config.ID     `cbor:"3,keyasint,omitempty"`
	ChangesOnly bool           `cbor:"4,keyasint,omitempty"`
}

// Missed answers a CatchUp: changes, or that the set is to be read in pages, or a
// page.
type CatchUpResponse struct {
	Changes []registry.Change `cbor:"2,keyasint,omitempty"`
	Paged   bool              `cbor:"3,keyasint,omitempty"`
	Page    *registry.Page    `cbor:"4,keyasint,omitempty"`
}

// Propose passes an operator's order for the configuration on to another member.
type Propose struct {
	Items []config.Item `cbor:"1,keyasint"`
}
