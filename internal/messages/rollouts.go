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

// CommandBase identifies a state of the leader: its term, and how many commands it has
// rejected. A command that names it has no effect once the leader has rejected another
// command since, or another node leads: the operator may have been told that the command
// is rejected. Builds that don't send a base are not checked.
type CommandBase struct {
	Term       uint64 `cbor:"1,keyasint,omitempty"`
	Rejections uint64 `cbor:"2,keyasint,omitempty"`
}

// StartRollout forwards an operator's command for a rollout to the leader.
type StartRollout struct {
	Service  string `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
	Duration int64  `cbor:"3,keyasint"`
	// Base was the leader's state while the operator still waited for a response.
	Base *CommandBase `cbor:"4,keyasint,omitempty"`
}

// StagedChange forwards an operator's command to start or, with Halt, to halt a staged
// change to the leader.
type StagedChange struct {
	Name     string        `cbor:"1,keyasint"`
	First    string        `cbor:"2,keyasint,omitempty"`
	Duration int64         `cbor:"3,keyasint,omitempty"`
	Items    []config.Item `cbor:"4,keyasint,omitempty"`
	Halt     bool          `cbor:"5,keyasint,omitempty"`
	// Base was the leader's state while the operator still waited for a response.
	Base *CommandBase `cbor:"6,keyasint,omitempty"`
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
	// since its base. Index is then the index of the member's configuration, or CommandBase
	// the state of the leader.
	IsStale     bool         `cbor:"4,keyasint,omitempty"`
	CommandBase *CommandBase `cbor:"5,keyasint,omitempty"`
}
