package messages

import (
	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
)

// Trial brings one writing of a trial's state to a member.
type Trial struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
	State rollout.State    `cbor:"2,keyasint"`
}

// Trials asks a member for all trials.
type Trials struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// TrialsTold is the reply; it counts only where it is OK. Fence is the highest
// term of the duty that the member knows: it refuses writings of lower ones.
type TrialsTold struct {
	OK     bool            `cbor:"1,keyasint"`
	Fence  uint64          `cbor:"2,keyasint"`
	States []rollout.State `cbor:"3,keyasint,omitempty"`
}

// Order passes an operator's order on to the holder of the duty.
type Order struct {
	Service  string `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
	Duration int64  `cbor:"3,keyasint"`
}

// StageOrder passes an operator's order for a staged change on to the holder of
// the duty, or the order to halt one.
type StageOrder struct {
	Name     string        `cbor:"1,keyasint"`
	First    string        `cbor:"2,keyasint,omitempty"`
	Duration int64         `cbor:"3,keyasint,omitempty"`
	Items    []config.Item `cbor:"4,keyasint,omitempty"`
	IsHalt   bool          `cbor:"5,keyasint,omitempty"`
}

// Evidence asks the holder for what it knows of a trial, and is the reply.
type Evidence struct {
	Subject string             `cbor:"1,keyasint"`
	Lanes   []outlier.Evidence `cbor:"2,keyasint,omitempty"`
}

// Ordered is the reply: the kind of what stands against it, or none.
type Ordered struct {
	Kind   apierror.Kind `cbor:"1,keyasint"`
	Detail string        `cbor:"2,keyasint,omitempty"`
	// Index is the index of the configuration in which an order for it holds.
	Index uint64 `cbor:"3,keyasint,omitempty"`
}
