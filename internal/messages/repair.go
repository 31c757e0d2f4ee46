package messages

import (
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rollout"
)

// Digests asks a member for the digests of its ranges of intents; the member must
// be in the asker's epoch or a later one.
type Digests struct {
	Epoch membership.Epoch  `cbor:"1,keyasint"`
	Scope idempotency.Scope `cbor:"2,keyasint,omitempty"`
}

// DigestsTold is the reply.
type DigestsTold struct {
	OK     bool                 `cbor:"1,keyasint"`
	Ranges []idempotency.Digest `cbor:"2,keyasint,omitempty"`
}

// Briefs asks a member which intents it holds in some ranges.
type Briefs struct {
	Epoch  membership.Epoch    `cbor:"1,keyasint"`
	Ranges []idempotency.Range `cbor:"2,keyasint"`
}

// BriefsTold is the reply.
type BriefsTold struct {
	OK     bool                        `cbor:"1,keyasint"`
	Briefs []idempotency.IntentSummary `cbor:"2,keyasint,omitempty"`
}

// Entries asks a member for the next piece of entries from a cursor on.
type Entries struct {
	Epoch  membership.Epoch   `cbor:"1,keyasint"`
	Cursor idempotency.Cursor `cbor:"2,keyasint"`
}

// EntriesTold is the reply: a piece of bounded size, and the cursor of the rest.
type EntriesTold struct {
	OK      bool                `cbor:"1,keyasint"`
	Entries []idempotency.Entry `cbor:"2,keyasint,omitempty"`
	Rest    idempotency.Cursor  `cbor:"3,keyasint"`
}

// Dump asks for all that a member holds beside the intents; the member must be in
// the asker's epoch or a later one.
type Dump struct {
	Epoch membership.Epoch `cbor:"1,keyasint"`
}

// Page is the reply; the configuration is read by calls of its own. It counts toward a read set only where the source is trusted:
// one that lost its disk and has not rebuilt lacks what it once held.
type Page struct {
	OK        bool                `cbor:"1,keyasint"`
	IsTrusted bool                `cbor:"2,keyasint"`
	Acceptor  membership.Acceptor `cbor:"5,keyasint"`
	Term      membership.Term     `cbor:"6,keyasint"`
	Trials    []rollout.State     `cbor:"7,keyasint,omitempty"`
}

// Leave says that a member is about to end; it is answered once the other has copied
// what it lacks of it.
type Leave struct {
	Epoch   membership.Epoch `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"`
}
