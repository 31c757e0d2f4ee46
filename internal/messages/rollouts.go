package messages

import (
	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
)

// WriteRollout writes the state of a rollout to a member.
type WriteRollout struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
	State rollout.State    `cbor:"2,keyasint"`
}

// ReadRollouts asks a member for the states of all rollouts.
type ReadRollouts struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// ReadRolloutsResponse is the response to ReadRollouts; it counts only if it is OK.
// FenceTerm is the highest leader term that the member knows; it refuses writes of
// lower terms.
type ReadRolloutsResponse struct {
	OK        bool            `cbor:"1,keyasint"`
	FenceTerm uint64          `cbor:"2,keyasint"`
	States    []rollout.State `cbor:"3,keyasint,omitempty"`
}

// StartRollout forwards an operator's command for a rollout to the leader.
type StartRollout struct {
	Service  string `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
	Duration int64  `cbor:"3,keyasint"`
}

// StagedChange forwards an operator's command to start or, with Halt, to halt a staged
// change to the leader.
type StagedChange struct {
	Name     string        `cbor:"1,keyasint"`
	First    string        `cbor:"2,keyasint,omitempty"`
	Duration int64         `cbor:"3,keyasint,omitempty"`
	Items    []config.Item `cbor:"4,keyasint,omitempty"`
	Halt     bool          `cbor:"5,keyasint,omitempty"`
}

// RolloutEvidence asks the leader for the evidence of a rollout and is also the
// response.
type RolloutEvidence struct {
	Subject string             `cbor:"1,keyasint"`
	Routes  []outlier.Evidence `cbor:"2,keyasint,omitempty"`
}

// OrderResponse is the response to an operator's command: the kind of the error that
// prevents it, or apierror.None.
type OrderResponse struct {
	Kind   apierror.Kind `cbor:"1,keyasint"`
	Detail string        `cbor:"2,keyasint,omitempty"`
	// Index is the configuration index from which a configuration command is in force.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	// IsStale is true if the command had no effect because another node may have rejected it
	// since its base. Index is then the index of the member's configuration.
	IsStale bool `cbor:"4,keyasint,omitempty"`
}
