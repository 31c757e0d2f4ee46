// Package messages defines the messages between the processes of ploverhitch;
// docs/protocol.md describes the purpose of each.
package messages

import (
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
)

// The frame kinds in the order of their numbers; feed.KindFollow is 1.
const (
	KindReserve rpc.Kind = iota + 2
	KindRecord
	KindLookup
	KindPrepare
	KindOfferItems
	KindProposal
	KindHeartbeat
	KindClaim
	KindFleet
	KindMemberState
	KindView
	KindJoin
	KindMoves
	KindLookupHomes
	KindProxyStatus
	KindProxyReport
	KindWriteRollout
	KindReadRollouts
	KindStartRollout
	KindStagedChange
	KindRolloutEvidence
	KindMirrorStatus
	KindAccept
	KindLearn
	KindReplicaState
	KindCatchUp
	KindPropose
	KindRenew
	KindRelease
	KindContact
	// The source keeps no state about the reader between two of these calls.
	KindDigests
	KindSummaries
	KindEntries
	KindLeave
	KindLeavingServers
	KindListProgress
)

// Reserve asks a member for its vote on an intent, under the epoch of the view.
type Reserve struct {
	Epoch  membership.Epoch   `cbor:"1,keyasint"`
	Intent idempotency.Intent `cbor:"2,keyasint"`
}

// Vote is the response to Reserve. View is set if the caller's view is not the voter's.
type Vote struct {
	Vote idempotency.Vote `cbor:"1,keyasint"`
	View *membership.View `cbor:"2,keyasint,omitempty"`
}

// Record reports the new state of an intent to a member.
type Record struct {
	Intent idempotency.Intent `cbor:"1,keyasint"`
}

// Ack reports whether the receiver accepted the message and, if it stores it, wrote it
// to disk.
type Ack struct {
	OK bool `cbor:"1,keyasint"`
}

// Lookup asks for the intent of an idempotency key.
type Lookup struct {
	Key idempotency.Key `cbor:"1,keyasint"`
}

// LookupResponse is the response to Lookup; Intent is nil if there is none.
type LookupResponse struct {
	Intent *idempotency.Intent `cbor:"1,keyasint,omitempty"`
}

// OfferItems sends a member configuration items that an agent holds and the member
// lacks, as after a data loss that the control plane cannot repair by itself.
type OfferItems struct {
	Items []config.Item `cbor:"1,keyasint"`
}

// LeavingServers names servers that a page of the platform's instance list shows as
// leaving. Whichever member reads the list sends it; it carries no term.
type LeavingServers struct {
	IDs []string `cbor:"1,keyasint"`
}

// ListProgress reports that a member has read a page of the platform's instance list,
// and within which time it will read the next. After the last page (Complete), Age is
// the time since the read of the list began.
type ListProgress struct {
	From     string         `cbor:"1,keyasint"`
	Next     clock.Duration `cbor:"2,keyasint"`
	Complete bool           `cbor:"3,keyasint,omitempty"`
	Age      clock.Duration `cbor:"4,keyasint,omitempty"`
}

// Join announces a node with an empty data directory that waits to become a member.
type Join struct {
	Address string `cbor:"1,keyasint"`
}
