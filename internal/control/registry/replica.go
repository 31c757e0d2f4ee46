package registry

import (
	"ploverhitch/internal/config"
)

const (
	// recentChanges and recentBytes bound the changes that a replica keeps for
	// others that missed them; who missed more takes the set in pages.
	recentChanges = 512
	recentBytes   = 2 << 20
)

// Replica is one member's copy of the item set, with its part in deciding the
// next change. It has one owner.
type Replica struct {
	*Set
	Acceptor Acceptor
	// Incarnation names the life of the replica's memory.
	Incarnation uint64
	recent      []recentChange
	recentBytes int
}

// recentChange is a decided change and about how much room it takes.
type recentChange struct {
	change Change
	bytes  int
}

// NewReplica makes a replica of the empty set.
//
// Example:
//
//	replica := registry.NewReplica()
func NewReplica() *Replica { return &Replica{Set: NewSet()} }

// Next is the number of the change that follows the replica's set.
//
// Example:
//
//	slot := replica.Next()
func (r *Replica) Next() Index { return r.Index + 1 }

// Promise answers a Prepare; isChanged tells whether the acceptor must be kept
// on disk before the answer is sent.
//
// Example:
//
//	promise, isChanged := replica.Promise(prepare)
func (r *Replica) Promise(prepare Prepare) (promise Promise, isChanged bool) {
	promise = Promise{Incarnation: r.Incarnation, Index: r.Index, Acceptor: r.Acceptor}
	if prepare.Index != r.Next() || prepare.Ballot.Less(r.Acceptor.Promised) {
		return promise, false
	}
	isChanged = r.Acceptor.Promised != prepare.Ballot
	r.Acceptor.Promised = prepare.Ballot
	promise.OK, promise.Acceptor = true, r.Acceptor
	if r.Index == 0 {
		promise.Legacy = r.Items.Items()
	}
	return promise, isChanged
}

// Accept answers an Accept for the member of that name; isChanged tells whether
// the acceptor must be kept on disk before the answer is sent.
//
// Example:
//
//	acceptance, isChanged := replica.Accept(self, accept)
func (r *Replica) Accept(member string, accept Accept) (acceptance Acceptance, isChanged bool) {
	acceptance = Acceptance{Index: r.Index, Promised: r.Acceptor.Promised}
	incarnation, isNamed := accept.Incarnations[member]
	isForgotten := isNamed && incarnation != r.Incarnation
	if accept.Change.Index != r.Next() || accept.Ballot.Less(r.Acceptor.Promised) || isForgotten {
		return acceptance, false
	}
	isChanged = r.Acceptor.Accepted != accept.Ballot || r.Acceptor.Change == nil
	change := accept.Change
	r.Acceptor = Acceptor{Promised: accept.Ballot, Accepted: accept.Ballot, Change: &change}
	acceptance.OK, acceptance.Promised = true, accept.Ballot
	return acceptance, isChanged
}

// Learn takes a decided change, if it is the next one.
//
// Example:
//
//	if replica.Learn(change) { publish(change.Items) }
func (r *Replica) Learn(change Change) bool {
	if change.Index != r.Next() {
		return false
	}
	r.apply(change)
	r.Acceptor = Acceptor{}
	r.keepRecent(change)
	return true
}

func (r *Replica) keepRecent(change Change) {
	size := 64
	for _, item := range change.Items {
		size += sizeOf(item)
	}
	r.recent = append(r.recent, recentChange{change, size})
	r.recentBytes += size
	for len(r.recent) > recentChanges || len(r.recent) > 1 && r.recentBytes > recentBytes {
		r.recentBytes -= r.recent[0].bytes
		r.recent[0] = recentChange{}
		r.recent = r.recent[1:]
	}
}

// Since are the changes that follow an index, at most about so many bytes of them.
// isKept is false where some are no longer kept; isCheaper, where the whole set
// would take less than all that are missing.
//
// Example:
//
//	changes, isKept, isCheaper := replica.Since(request.From, pageBytes)
func (r *Replica) Since(from Index, bytes int) (changes []Change, isKept, isCheaper bool) {
	if from >= r.Index {
		return nil, true, true
	}
	if len(r.recent) == 0 || r.recent[0].change.Index > from+1 {
		return nil, false, false
	}
	missing, sum := r.recent[from+1-r.recent[0].change.Index:], 0
	for _, recent := range missing {
		if sum += recent.bytes; sum <= bytes || len(changes) == 0 {
			changes = append(changes, recent.change)
		}
	}
	return changes, true, sum <= r.bytes
}

// Latest is the last decided change that is kept, for telling a replica that it is
// behind.
//
// Example:
//
//	change, isAny := replica.Latest()
func (r *Replica) Latest() (change Change, isAny bool) {
	if len(r.recent) == 0 {
		return Change{}, false
	}
	return r.recent[len(r.recent)-1].change, true
}

// Rebuilt begins a new life of the replica's memory: it takes from the others'
// states what they promised and accepted for the change that follows its set.
// It must not have been behind any of them.
//
// Example:
//
//	isDone := replica.Rebuilt(states, rand.Uint64())
func (r *Replica) Rebuilt(states []State, incarnation uint64) bool {
	for _, state := range states {
		if state.Index > r.Index {
			return false
		}
	}
	for _, state := range states {
		if state.Index == r.Index {
			r.Acceptor = r.Acceptor.join(state.Acceptor)
		}
	}
	r.Incarnation = incarnation
	return true
}

// MergeLegacy takes items that an older build of the program left on disk
// without numbers; the higher version holds.
//
// Example:
//
//	replica.MergeLegacy(items)
func (r *Replica) MergeLegacy(items []config.Item) {
	if r.Index > 0 {
		return
	}
	for _, item := range items {
		item = renamed(item)
		held, isHeld := r.Items[item.ID]
		if !isHeld || item.Outranks(held) {
			r.put(item)
			r.remember(item)
		}
	}
}

// Durable is what is kept of a replica beside its set.
type Durable struct {
	Acceptor    Acceptor `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// Durable is the acceptor and the incarnation, as they are kept on disk.
//
// Example:
//
//	record := replica.Durable()
func (r *Replica) Durable() Durable { return Durable{r.Acceptor, r.Incarnation} }

// Restore puts back what Durable gave.
//
// Example:
//
//	replica.Restore(record)
func (r *Replica) Restore(durable Durable) {
	r.Acceptor, r.Incarnation = durable.Acceptor, durable.Incarnation
}

// State is the replica's place, for a quorum read or a rebuild.
//
// Example:
//
//	state := replica.State()
func (r *Replica) State() State { return State{Index: r.Index, Acceptor: r.Acceptor} }
