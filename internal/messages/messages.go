// Package messages is the list of messages between ploverhitch's own
// processes; docs/protocol.md tells what each is for.
package messages

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

// The kinds of frames; feed.KindFollow is the first.
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
	// A source keeps nothing of the reader between two of these.
	KindDigests
	KindSummaries
	KindEntries
	KindLeave
	KindLeavingServers
	KindListProgress
)

// Reserve asks a core node for its vote, under the view's epoch.
type Reserve struct {
	Epoch  membership.Epoch   `cbor:"1,keyasint"`
	Intent idempotency.Intent `cbor:"2,keyasint"`
}

// Vote is the reply; View stands where the asker's view is not the voter's.
type Vote struct {
	Vote idempotency.Vote `cbor:"1,keyasint"`
	View *membership.View `cbor:"2,keyasint,omitempty"`
}

// Record tells a core node what became of an intent.
type Record struct {
	Intent idempotency.Intent `cbor:"1,keyasint"`
}

// Done says whether what was told is kept on disk.
type Ack struct {
	OK bool `cbor:"1,keyasint"`
}

// Lookup asks for a key's record.
type Lookup struct {
	Key idempotency.Key `cbor:"1,keyasint"`
}

// Found is the record, if there is one.
type LookupResponse struct {
	Intent *idempotency.Intent `cbor:"1,keyasint,omitempty"`
}

// Offer brings a core node items that an agent holds and the node lacks, as after
// a loss that was larger than the core can mend by itself.
type OfferItems struct {
	Items []config.Item `cbor:"1,keyasint"`
}

// Leaving names servers that a page of the platform's list shows leaving. It is told
// under no term, by whoever reads the list.
type LeavingServers struct {
	IDs []string `cbor:"1,keyasint"`
}

// ListProgress says that a member has read a page of the list, and within which span it
// is to read the next. Where that was the last page, IsWhole, Age is how long ago the
// reading began.
type ListProgress struct {
	From     string         `cbor:"1,keyasint"`
	Next     timetable.Span `cbor:"2,keyasint"`
	Complete bool           `cbor:"3,keyasint,omitempty"`
	Age      timetable.Span `cbor:"4,keyasint,omitempty"`
}

// Join says that a node with an empty place waits to become a member.
type Join struct {
	Address string `cbor:"1,keyasint"`
}
