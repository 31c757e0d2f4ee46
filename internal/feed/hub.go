package feed

import (
	"math/rand/v2"
	"sync"
	"time"

	"ploverhitch/internal/rpc"
)

// KindFollow is the frame kind of a subscription request.
const KindFollow rpc.Kind = 1

// FollowRequest subscribes to a feed after a position.
type FollowRequest struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	Name        string `cbor:"3,keyasint"`
}

// maxHistory is how many updates the hub keeps for subscribers that resume.
const maxHistory = 128

// GrantDuration is how long a grant is valid after its receipt.
const GrantDuration = 1200 * time.Millisecond

// Hub numbers updates and sends them to its subscribers. The incarnation is random at
// each start, so that positions in an earlier feed are not mistaken for its own.
type Hub struct {
	incarnation uint64
	lock        sync.Mutex
	replica     *Replica
	sequence    uint64
	history     []Update
	lastID      uint64
	subscribers map[uint64]func(any) bool
	names       map[uint64]string
	now         func() time.Time
	// fleetPublishedAt is when the fleet was last published.
	fleetPublishedAt time.Time
	// cachedSnapshot is the last snapshot; nil after a change.
	cachedSnapshot *Update
}

// NewHub makes a hub with an empty replica.
func NewHub() *Hub {
	return &Hub{incarnation: rand.Uint64(), replica: NewReplica(), subscribers: map[uint64]func(any) bool{}, names: map[uint64]string{}, now: time.Now}
}

// Publish merges an update into the hub's replica and sends the newer parts to the
// subscribers.
func (h *Hub) Publish(update Update) (fresh Update, changed bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	previous := h.replica.Fleet
	fresh, changed = h.replica.Merge(update)
	if !changed {
		return fresh, false
	}
	h.sequence++
	fleet := fresh.Fleet
	if fleet != nil {
		h.fleetPublishedAt = h.now()
	}
	if fleet != nil && previous.Count > 0 {
		// Subscribers receive a diff instead of the full fleet.
		change := fleet.DiffFrom(previous)
		fresh.Fleet = &change
	}
	fresh.Incarnation, fresh.Sequence = h.incarnation, h.sequence
	fresh, h.cachedSnapshot = fresh.encode(), nil
	if h.history = append(h.history, fresh); len(h.history) > maxHistory {
		h.history = append([]Update(nil), h.history[len(h.history)-maxHistory/2:]...)
	}
	for id, send := range h.subscribers {
		if !send(fresh) {
			delete(h.subscribers, id)
			delete(h.names, id)
		}
	}
	fresh.Fleet, fresh.encoded = fleet, nil
	return fresh, true
}

// snapshot returns a snapshot at the hub's position. It is encoded once for all
// subscribers while nothing changes, as after a restart of the whole system.
func (h *Hub) snapshot() Update {
	grantsExpired := h.now().Sub(h.fleetPublishedAt) > GrantDuration
	if h.cachedSnapshot != nil && !(grantsExpired && h.cachedSnapshot.Fleet.HasGrants()) {
		return *h.cachedSnapshot
	}
	snapshot := h.replica.Snapshot()
	if grantsExpired {
		// Grants that expired here must not reach a new subscriber.
		snapshot.Fleet.Shares, snapshot.Fleet.Stages, snapshot.Fleet.Cutoffs, snapshot.Fleet.Mirrors = nil, nil, nil, nil
	}
	snapshot.Incarnation, snapshot.Sequence = h.incarnation, h.sequence
	snapshot = snapshot.encode()
	h.cachedSnapshot = &snapshot
	return snapshot
}

// Read calls inspect with the replica, which inspect must not change or retain.
func (h *Hub) Read(inspect func(*Replica)) {
	h.lock.Lock()
	defer h.lock.Unlock()
	inspect(h.replica)
}

// Followers returns the names of the current subscribers.
func (h *Hub) Followers() (names []string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, name := range h.names {
		names = append(names, name)
	}
	return names
}

// Handle serves a subscription: it sends the missed updates if the history still has
// them, otherwise a snapshot, and then every new update.
func (h *Hub) Handle(call rpc.Call) {
	var request FollowRequest
	if rpc.Decode(call.Body, &request) != nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	missed := h.sequence - request.Sequence
	if request.Incarnation == h.incarnation && request.Sequence <= h.sequence && missed <= uint64(len(h.history)) {
		for _, update := range h.history[uint64(len(h.history))-missed:] {
			call.Reply(update)
		}
	} else {
		call.Reply(h.snapshot())
	}
	h.lastID++
	id := h.lastID
	h.subscribers[id], h.names[id] = call.Reply, request.Name
	go func() {
		<-call.Closed
		h.lock.Lock()
		defer h.lock.Unlock()
		delete(h.subscribers, id)
		delete(h.names, id)
	}()
}
