package registry

import (
	"ploverhitch/internal/config"
)

const (
	// maxRecentChanges and maxRecentBytes bound the changes that a replica retains
	// for replicas that missed them; a replica that lacks more fetches the set in pages.
	maxRecentChanges = 512
	maxRecentBytes   = 2 << 20
)

// Replica is one member's copy of the item set, with its acceptor state for the next
// change. It is not safe for concurrent use.
type Replica struct {
	*Set
	Acceptor Acceptor
	// Incarnation identifies the replica's acceptor state; a rebuild generates a new one.
	Incarnation uint64
	recent      []recentChange
	recentBytes int
	undo        undoLog
}

// recentChange is a decided change and its approximate size in bytes.
type recentChange struct {
	change Change
	size   int
}

// NewReplica returns a replica of the empty set.
func NewReplica() *Replica { return &Replica{Set: NewSet()} }

// Next returns the index of the change that follows the replica's set.
func (r *Replica) Next() Index { return r.Index + 1 }

// Promise handles a Prepare; changed reports whether the acceptor must be persisted
// before the response is sent.
func (r *Replica) Promise(prepare Prepare) (promise Promise, changed bool) {
	promise = Promise{Incarnation: r.Incarnation, Index: r.Index, Acceptor: r.Acceptor}
	if prepare.Index != r.Next() || prepare.Ballot.Less(r.Acceptor.Promised) {
		return promise, false
	}
	changed = r.Acceptor.Promised != prepare.Ballot
	r.Acceptor.Promised = prepare.Ballot
	promise.OK, promise.Acceptor = true, r.Acceptor
	if r.Index == 0 {
		promise.Legacy = r.Items.Items()
	}
	return promise, changed
}

// Accept handles an Accept for the named member; changed reports whether the
// acceptor must be persisted before the response is sent.
func (r *Replica) Accept(member string, accept Accept) (acceptance Acceptance, changed bool) {
	acceptance = Acceptance{Index: r.Index, Promised: r.Acceptor.Promised}
	incarnation, promised := accept.Incarnations[member]
	lost := promised && incarnation != r.Incarnation
	if accept.Change.Index != r.Next() || accept.Ballot.Less(r.Acceptor.Promised) || lost {
		return acceptance, false
	}
	changed = r.Acceptor.Accepted != accept.Ballot || r.Acceptor.Change == nil
	change := accept.Change
	r.Acceptor = Acceptor{Promised: accept.Ballot, Accepted: accept.Ballot, Change: &change}
	acceptance.OK, acceptance.Promised = true, accept.Ballot
	return acceptance, changed
}

// Learn applies a decided change and reports whether it was the next one; any other
// change is ignored.
func (r *Replica) Learn(change Change) bool {
	if change.Index != r.Next() {
		return false
	}
	r.undo.record(r.Set, change)
	r.apply(change)
	r.Acceptor = Acceptor{}
	r.retain(change)
	return true
}

func (r *Replica) retain(change Change) {
	size := 64
	for _, item := range change.Items {
		size += approximateSize(item)
	}
	r.recent = append(r.recent, recentChange{change, size})
	r.recentBytes += size
	for len(r.recent) > maxRecentChanges || len(r.recent) > 1 && r.recentBytes > maxRecentBytes {
		r.recentBytes -= r.recent[0].size
		r.recent[0] = recentChange{}
		r.recent = r.recent[1:]
	}
}

// Since returns the changes that follow an index, up to about maxBytes. retained is
// false if some of them are no longer retained; smaller is false if the whole set is
// smaller than all missing changes.
func (r *Replica) Since(from Index, maxBytes int) (changes []Change, retained, smaller bool) {
	if from >= r.Index {
		return nil, true, true
	}
	if len(r.recent) == 0 || r.recent[0].change.Index > from+1 {
		return nil, false, false
	}
	missing, size := r.recent[from+1-r.recent[0].change.Index:], 0
	for _, recent := range missing {
		if size += recent.size; size <= maxBytes || len(changes) == 0 {
			changes = append(changes, recent.change)
		}
	}
	return changes, true, size <= r.size
}

// Latest returns the last decided change that is retained; it shows another replica
// that it lags.
func (r *Replica) Latest() (change Change, ok bool) {
	if len(r.recent) == 0 {
		return Change{}, false
	}
	return r.recent[len(r.recent)-1].change, true
}

// Rebuild starts a new incarnation: it merges what the other replicas promised and
// accepted for the change that follows this replica's set. It returns false if the
// replica lags any of them.
func (r *Replica) Rebuild(states []State, incarnation uint64) bool {
	for _, state := range states {
		if state.Index > r.Index {
			return false
		}
	}
	for _, state := range states {
		if state.Index == r.Index {
			r.Acceptor = r.Acceptor.merge(state.Acceptor)
		}
	}
	r.Incarnation = incarnation
	return true
}

// MergeLegacy adds unnumbered items that an older build stored; of two versions of
// an item the higher is kept.
func (r *Replica) MergeLegacy(items []config.Item) {
	if r.Index > 0 {
		return
	}
	for _, item := range items {
		item = migrateFieldNames(item)
		current, ok := r.Items[item.ID]
		if !ok || item.Supersedes(current) {
			r.put(item)
			r.recordAccepted(item)
		}
	}
}

// DurableState is the state of a replica that is persisted besides its set.
type DurableState struct {
	Acceptor    Acceptor `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// DurableState returns the acceptor and the incarnation for persisting.
func (r *Replica) DurableState() DurableState { return DurableState{r.Acceptor, r.Incarnation} }

// Restore sets the state that DurableState returned.
func (r *Replica) Restore(state DurableState) {
	r.Acceptor, r.Incarnation = state.Acceptor, state.Incarnation
}

// State returns the replica's state for a quorum read or a rebuild.
func (r *Replica) State() State { return State{Index: r.Index, Acceptor: r.Acceptor} }
