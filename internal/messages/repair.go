package messages

import (
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rollout"
)

// Digests asks a member for the digests of its intent ranges. The member must be in
// the caller's epoch or a later one.
type Digests struct {
	Epoch membership.Epoch  `cbor:"1,keyasint"`
	Scope idempotency.Scope `cbor:"2,keyasint,omitempty"`
}

// DigestsResponse is the response to Digests.
type DigestsResponse struct {
	OK     bool                 `cbor:"1,keyasint"`
	Ranges []idempotency.Digest `cbor:"2,keyasint,omitempty"`
}

// Summaries asks a member which intents it holds in the given ranges.
type Summaries struct {
	Epoch  membership.Epoch    `cbor:"1,keyasint"`
	Ranges []idempotency.Range `cbor:"2,keyasint"`
}

// SummariesResponse is the response to Summaries.
type SummariesResponse struct {
	OK        bool                        `cbor:"1,keyasint"`
	Summaries []idempotency.IntentSummary `cbor:"2,keyasint,omitempty"`
}

// Entries asks a member for the next batch of entries from a cursor on.
type Entries struct {
	Epoch  membership.Epoch   `cbor:"1,keyasint"`
	Cursor idempotency.Cursor `cbor:"2,keyasint"`
}

// EntriesResponse is the response to Entries: a batch of bounded size and the cursor
// of the next one.
type EntriesResponse struct {
	OK      bool                `cbor:"1,keyasint"`
	Entries []idempotency.Entry `cbor:"2,keyasint,omitempty"`
	Next    idempotency.Cursor  `cbor:"3,keyasint"`
}

// MemberState asks for all state that a member holds besides the intents. The member
// must be in the caller's epoch or a later one.
type MemberState struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// MemberStateResponse is the response to MemberState; the configuration is read by
// separate calls. It counts toward a read quorum only if the source is trusted: a
// member that lost its disk and has not rebuilt lacks state that it once held.
type MemberStateResponse struct {
	OK       bool                `cbor:"1,keyasint"`
	Trusted  bool                `cbor:"2,keyasint"`
	Acceptor membership.Acceptor `cbor:"5,keyasint"`
	Term     membership.Term     `cbor:"6,keyasint"`
	Rollouts []rollout.State     `cbor:"7,keyasint,omitempty"`
}

// Leave announces that a member is about to shut down. The receiver responds once it
// has copied everything that it lacks from that member.
type Leave struct {
	Epoch   membership.Epoch `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"`
}
