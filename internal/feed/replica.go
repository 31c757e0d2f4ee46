// Package feed brings news to the nodes: a numbered feed that is followed from
// a place on and starts from a checkpoint. The same feed runs from the core to
// the agents and from an agent to the proxy beside it.
package feed

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

// News is one entry of a feed. Every part of it is merged by its own order, so
// news from several nodes, late or twice, does no harm.
type Update struct {
	Incarnation uint64           `cbor:"1,keyasint"`
	Sequence    uint64           `cbor:"2,keyasint"`
	Items       []config.Item    `cbor:"3,keyasint,omitempty"`
	Fleet       *Fleet           `cbor:"4,keyasint,omitempty"`
	View        *membership.View `cbor:"5,keyasint,omitempty"`
	// IsCheckpoint marks the whole of what the sender holds.
	Snapshot bool `cbor:"6,keyasint,omitempty"`
	// IsWhole says that the sender speaks for a majority of the core.
	Complete bool `cbor:"7,keyasint,omitempty"`
	// Leaving are servers that the platform's list showed leaving, told by whoever
	// read it, page by page; see Board.Leaving.
	Leaving []string `cbor:"8,keyasint,omitempty"`
	// packed is the news as a frame carries it, written once for all followers.
	encoded []byte
}

// plainNews is news without the means to write itself.
type plainUpdate Update

// MarshalCBOR writes the news, or gives what was written before.
//
// Example:
//
//	text, err := cbor.Marshal(news)
func (u Update) MarshalCBOR() ([]byte, error) {
	if u.encoded != nil {
		return u.encoded, nil
	}
	return cbor.Marshal(plainUpdate(u))
}

// Packed is the news as it was written for all followers, or nil.
//
// Example:
//
//	frame := append(head, news.Packed()...)
func (u Update) Encoded() []byte { return u.encoded }

// pack writes the news once, so that each follower costs a copy only.
func (u Update) encode() Update {
	u.encoded = nil
	if data, err := u.MarshalCBOR(); err == nil {
		u.encoded = data
	}
	return u
}

// Board is all that a node knows from news. It has one owner.
type Replica struct {
	Items    config.ItemSet
	Fleet    Fleet
	View     membership.View
	Complete bool
	// Leaving are the ids of the servers that were seen leaving, in a fleet or by the
	// word of any node that read the list. A server that leaves never becomes ready
	// again, so this may be told under no term, and no later fleet undoes it: the
	// holder of a new term may go on from an older list than this board has seen.
	Leaving map[string]bool
	// leavingOrder has the same ids, those seen first at the front.
	leavingOrder []string
}

// NewBoard makes an empty board.
//
// Example:
//
//	board := feed.NewBoard()
func NewReplica() *Replica { return &Replica{Items: config.ItemSet{}, Leaving: map[string]bool{}} }

// Merge takes what is newer in the news and returns just that, and whether
// there was any.
//
// Example:
//
//	if fresh, isNew := board.Merge(news); isNew { hub.Publish(fresh) }
func (r *Replica) Merge(update Update) (fresh Update, changed bool) {
	if fresh.Items = r.Items.Merge(update.Items); len(fresh.Items) > 0 {
		changed = true
	}
	if update.Fleet != nil && r.CanApply(update) && update.Fleet.Version().NewerThan(r.Fleet.Version()) {
		whole := *update.Fleet
		if whole.Base != nil {
			whole = r.Fleet.Apply(whole)
		}
		r.Fleet, fresh.Fleet, changed = whole, &whole, true
		r.addLeavingFrom(whole.Servers)
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

// Fits tells whether the board can take the news. A change of a fleet that it
// does not hold is of no use to it: it needs a checkpoint.
//
// Example:
//
//	if !board.Fits(news) { follower.Again() }
func (r *Replica) CanApply(update Update) bool {
	f := update.Fleet
	return f == nil || f.Base == nil || *f.Base == r.Fleet.Version() || !f.Version().NewerThan(r.Fleet.Version())
}

// Checkpoint is the whole board as news.
//
// Example:
//
//	hub := feed.NewHub(board.Checkpoint)
func (r *Replica) Snapshot() Update {
	fleet, view := r.Fleet, r.View
	return Update{Items: r.Items.Items(), Fleet: &fleet, View: &view, Snapshot: true, Complete: r.Complete, Leaving: slices.Clone(r.leavingOrder)}
}
