package messages

import (
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/mirror"
)

// Moves is a proxy's reply to a balancer.Change: the operations of the service
// that it runs, each with its home now and its home after the change.
type Moves struct {
	Node string `cbor:"1,keyasint" json:"Node"`
	Runs []Move `cbor:"2,keyasint,omitempty" json:"Runs"`
}

// Move is one running operation: a keyed one by its key, a download by its
// attempt and target. At names the servers that it runs on now: there it ends,
// whatever the change.
type Move struct {
	Lane    string         `cbor:"1,keyasint" json:"Route"`
	Tenant  string         `cbor:"2,keyasint" json:"Tenant"`
	Key     string         `cbor:"3,keyasint,omitempty" json:"Key,omitempty"`
	Attempt string         `cbor:"4,keyasint,omitempty" json:"Attempt,omitempty"`
	Target  string         `cbor:"5,keyasint,omitempty" json:"Target,omitempty"`
	From    string         `cbor:"6,keyasint" json:"From"`
	To      string         `cbor:"7,keyasint" json:"To"`
	At      []string       `cbor:"8,keyasint,omitempty" json:"At,omitempty"`
	Place   balancer.Place `cbor:"9,keyasint" json:"Place"`
}

// IsMoving tells whether the change gives the operation another home.
//
// Example:
//
//	if move.IsMoving() { name(move) }
func (m Move) IsMoving() bool { return m.From != m.To }

// Homes asks a proxy where its live ring places operations.
type Homes struct {
	Service string           `cbor:"1,keyasint"`
	Places  []balancer.Place `cbor:"2,keyasint"`
}

// HomesNow is the reply: the instances, in the order asked, and all instances on
// the ring.
type HomesNow struct {
	Homes []string `cbor:"1,keyasint"`
	Ring  []string `cbor:"2,keyasint"`
}

// Sight is what a proxy has in force.
type Sight struct {
	Node    string `cbor:"1,keyasint" json:"Node"`
	Digest  string `cbor:"2,keyasint" json:"Digest"`
	Epoch   uint64 `cbor:"3,keyasint" json:"Epoch"`
	IsReady bool   `cbor:"4,keyasint" json:"IsReady"`
	Servers int    `cbor:"5,keyasint" json:"Servers"`
	// Cutoff is the number of the newest cutoff that the proxy works by, 0 without
	// one; IsFloor tells that it turns away by its own measure, without the core.
	Cutoff  uint64 `cbor:"6,keyasint,omitempty" json:"Cutoff,omitempty"`
	IsFloor bool   `cbor:"7,keyasint,omitempty" json:"IsFloor,omitempty"`
}

// Mirrored is what a proxy knows of its copies, in its present life.
type Mirrored struct {
	Node  string                    `cbor:"1,keyasint" json:"Node"`
	Life  string                    `cbor:"2,keyasint" json:"Life"`
	Pages map[string]mirror.Results `cbor:"3,keyasint,omitempty" json:"Pages"`
}
