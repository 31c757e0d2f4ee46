// Package feed replicates configuration, fleet and membership to the nodes as a sequence
// of updates. A subscriber resumes from a sequence number or starts from a snapshot. The
// same protocol runs from the control plane to the agents and from an agent to its proxy.
package feed

import (
	"slices"

	"ploverhitch/internal/codec"
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

// Update is one entry of a feed. Each part is merged by its own version order, so
// updates may come from several nodes, late or more than once.
type Update struct {
	Incarnation uint64           `cbor:"1,keyasint"`
	Sequence    uint64           `cbor:"2,keyasint"`
	Items       []config.Item    `cbor:"3,keyasint,omitempty"`
	Fleet       *Fleet           `cbor:"4,keyasint,omitempty"`
	View        *membership.View `cbor:"5,keyasint,omitempty"`
	// Snapshot marks the full state of the sender.
	Snapshot bool `cbor:"6,keyasint,omitempty"`
	// Complete states that the sender has the state of a majority of the control plane.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// Leaving lists servers that the platform's list showed leaving, reported by the node
	// that read it, page by page; see Replica.Leaving.
	Leaving []string `cbor:"8,keyasint,omitempty"`
	// encoded is the CBOR encoding, written once for all subscribers.
	encoded []byte
}

// plainUpdate is an Update without MarshalCBOR, which prevents recursion.
type plainUpdate Update

// MarshalCBOR returns the cached encoding, or encodes the update.
func (u Update) MarshalCBOR() ([]byte, error) {
	if u.encoded != nil {
		return u.encoded, nil
	}
	return codec.Marshal(plainUpdate(u))
}

// Encoded returns the encoding that all subscribers share, or nil.
func (u Update) Encoded() []byte { return u.encoded }

// encode caches the encoding, so that each subscriber only costs a copy.
func (u Update) encode() Update {
	u.encoded = nil
	if data, err := u.MarshalCBOR(); err == nil {
		u.encoded = data
	}
	return u
}

// Replica is a node's copy of the replicated state. It has a single owner.
type Replica struct {
	Items    config.ItemSet
	Fleet    Fleet
	View     membership.View
	Complete bool
	// Leaving holds the IDs of the servers that were seen leaving, in a fleet or in the
	// report of any node that read the list. A leaving server never becomes ready again,
	// so the reports need no term and no later fleet reverts them: the leader of a new
	// term may continue from an older list than this replica has seen.
	Leaving map[string]bool
	// leavingOrder holds the same IDs, oldest first.
	leavingOrder []string
}

// NewReplica makes an empty replica.
func NewReplica() *Replica { return &Replica{Items: config.ItemSet{}, Leaving: map[string]bool{}} }

// Merge applies the newer parts of the update. It returns these parts and whether there
// are any.
func (r *Replica) Merge(update Update) (fresh Update, changed bool) {
	if fresh.Items = r.Items.Merge(update.Items); len(fresh.Items) > 0 {
		changed = true
	}
	if update.Fleet != nil && r.CanApply(update) && update.Fleet.Version().NewerThan(r.Fleet.Version()) {
		fleet := *update.Fleet
		if fleet.Base != nil {
			fleet = r.Fleet.Apply(fleet)
		}
		r.Fleet, fresh.Fleet, changed = fleet, &fleet, true
		r.addLeavingFrom(fleet.Servers)
	}
	if fresh.Leaving = r.addLeaving(update.Leaving); len(fresh.Leaving) > 0 {
		changed = true
	}
	if update.View != nil && update.View.Epoch > r.View.Epoch {
		r.View, fresh.View, changed = *update.View, update.View, true
	}
	if update.Complete && !r.Complete {
		r.Complete, fresh.Complete, changed = true, true, true
	}
	return fresh, changed
}

// CanApply reports whether the replica can apply the update. A fleet diff applies only to
// its base version; with another version the replica needs a snapshot.
func (r *Replica) CanApply(update Update) bool {
	f := update.Fleet
	return f == nil || f.Base == nil || *f.Base == r.Fleet.Version() || !f.Version().NewerThan(r.Fleet.Version())
}

// Snapshot returns the full state as an update.
func (r *Replica) Snapshot() Update {
	fleet, view := r.Fleet, r.View
	return Update{Items: r.Items.Items(), Fleet: &fleet, View: &view, Snapshot: true, Complete: r.Complete, Leaving: slices.Clone(r.leavingOrder)}
}
