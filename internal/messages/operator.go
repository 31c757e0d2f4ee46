package messages

import (
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/mirror"
)

// Moves is a proxy's response to a balancer.Change: the running operations of the
// service, each with its home instance before and after the change.
type Moves struct {
	Node       string `cbor:"1,keyasint" json:"Node"`
	Operations []Move `cbor:"2,keyasint,omitempty" json:"Runs"`
}

// Move is one running operation, identified by its idempotency key, or for a download
// by its attempt and target. RunningOn names the servers that execute it now; it
// finishes there, whatever the change.
type Move struct {
	Route     string                `cbor:"1,keyasint" json:"Route"`
	Tenant    string                `cbor:"2,keyasint" json:"Tenant"`
	Key       string                `cbor:"3,keyasint,omitempty" json:"Key,omitempty"`
	Attempt   string                `cbor:"4,keyasint,omitempty" json:"Attempt,omitempty"`
	Target    string                `cbor:"5,keyasint,omitempty" json:"Target,omitempty"`
	From      string                `cbor:"6,keyasint" json:"From"`
	To        string                `cbor:"7,keyasint" json:"To"`
	RunningOn []string              `cbor:"8,keyasint,omitempty" json:"At,omitempty"`
	Place     balancer.RingPosition `cbor:"9,keyasint" json:"Place"`
}

// IsMoving reports whether the change gives the operation another home instance.
func (m Move) IsMoving() bool { return m.From != m.To }

// LookupHomes asks a proxy for the home instances of places on its current hash ring.
type LookupHomes struct {
	Service string                  `cbor:"1,keyasint"`
	Places  []balancer.RingPosition `cbor:"2,keyasint"`
}

// LookupHomesResponse is the response to LookupHomes. Homes are in the order of the
// requested places; Instances are all instances on the ring.
type LookupHomesResponse struct {
	Homes     []string `cbor:"1,keyasint"`
	Instances []string `cbor:"2,keyasint"`
}

// ProxyStatus is the state that a proxy has in force.
type ProxyStatus struct {
	Node    string `cbor:"1,keyasint" json:"Node"`
	Digest  string `cbor:"2,keyasint" json:"Digest"`
	Epoch   uint64 `cbor:"3,keyasint" json:"Epoch"`
	Ready   bool   `cbor:"4,keyasint" json:"IsReady"`
	Servers int    `cbor:"5,keyasint" json:"Servers"`
	// Cutoff is the number of the newest load-shedding cutoff in force, 0 if there is
	// none. LocalCutoff is true if the proxy sheds load by its own measurements,
	// without a cutoff from the control plane.
	Cutoff      uint64 `cbor:"6,keyasint,omitempty" json:"Cutoff,omitempty"`
	LocalCutoff bool   `cbor:"7,keyasint,omitempty" json:"IsFloor,omitempty"`
}

// MirrorStatus is what a proxy recorded about mirrored requests since it started.
// Incarnation identifies this run of the proxy.
type MirrorStatus struct {
	Node        string                    `cbor:"1,keyasint" json:"Node"`
	Incarnation string                    `cbor:"2,keyasint" json:"Life"`
	Pages       map[string]mirror.Results `cbor:"3,keyasint,omitempty" json:"Pages"`
}
