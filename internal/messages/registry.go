package messages

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

// Learn sends decided configuration changes to a node.
type Learn struct {
	From    string            `cbor:"1,keyasint"`
	Changes []registry.Change `cbor:"2,keyasint,omitempty"`
}

// ReplicaState asks a member for the state of its configuration replica.
type ReplicaState struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// CatchUp asks for the changes that follow From or, if Paged, for the page of the
// configuration that follows the item After. ChangesOnly asks for changes even if the
// whole configuration would be cheaper to send, as after its pages were read.
type CatchUp struct {
	From        registry.Index `cbor:"1,keyasint"`
	Paged       bool           `cbor:"2,keyasint,omitempty"`
	After       *config.ID     `cbor:"3,keyasint,omitempty"`
	ChangesOnly bool           `cbor:"4,keyasint,omitempty"`
}

// CatchUpResponse is the response to CatchUp: changes, a page, or (Paged) the
// instruction to read the configuration in pages.
type CatchUpResponse struct {
	Changes []registry.Change `cbor:"2,keyasint,omitempty"`
	Paged   bool              `cbor:"3,keyasint,omitempty"`
	Page    *registry.Page    `cbor:"4,keyasint,omitempty"`
}

// Propose forwards an operator's configuration change to another member.
type Propose struct {
	Items []config.Item `cbor:"1,keyasint"`
	// Base is the index of a configuration that was decided while the operator still waited
	// for a response, BaseTime the time at which the sender learnt it, in nanoseconds since
	// 1970. The change has no effect if another node may have rejected it since. Builds
	// that don't send a base are not checked.
	Base     *registry.Index `cbor:"2,keyasint,omitempty"`
	BaseTime int64           `cbor:"3,keyasint,omitempty"`
}
