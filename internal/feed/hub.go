package feed

import (
	"math/rand/v2"
	"sync"
	"time"

	"ploverhitch/internal/rpc"
)

// KindFollow is the frame with which a follower asks for a feed.
const KindFollow rpc.Kind = 1

// Follow says from which place on a follower wants news.
type FollowRequest struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	Name        string `cbor:"3,keyasint"`
}

const maxHistory = 128

// GrantSpan is how long a share is granted for, from when it was heard of.
const GrantDuration = 1200 * time.Millisecond

// Hub numbers news and gives it to its followers. The life is drawn anew at
// each start, so that places of an earlier life are not taken for its own.
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
	// fleetAt is when the fleet was last told.
	fleetPublishedAt time.Time
	// checkpoint is the last one made, while nothing has changed.
	cachedSnapshot *Update
}

// NewHub makes a hub with an empty board.
//
// Example:
//
//	hub := feed.NewHub()
//	handlers[feed.KindFollow] = hub.Handle
func NewHub() *Hub {
	return &Hub{incarnation: rand.Uint64(), replica: NewReplica(), subscribers: map[uint64]func(any) bool{}, names: map[uint64]string{}, now: time.Now}
}

// Publish merges news into the hub's board and passes on what was newer.
//
// Example:
//
//	hub.Publish(feed.News{Items: items})
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
		// Followers are told what has changed, not the fleet once more.
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

// whole is the checkpoint of the hub's place. It is written once for all that ask
// while nothing changes, as after a restart of everything.
func (h *Hub) snapshot() Update {
	grantsExpired := h.now().Sub(h.fleetPublishedAt) > GrantDuration
	if h.cachedSnapshot != nil && !(grantsExpired && h.cachedSnapshot.Fleet.HasGrants()) {
		return *h.cachedSnapshot
	}
	snapshot := h.replica.Snapshot()
	if grantsExpired {
		// Grants that lapsed here are no grants to a newcomer.
		snapshot.Fleet.Shares, snapshot.Fleet.Stages, snapshot.Fleet.Cutoffs, snapshot.Fleet.Mirrors = nil, nil, nil, nil
	}
	snapshot.Incarnation, snapshot.Sequence = h.incarnation, h.sequence
	snapshot = snapshot.encode()
	h.cachedSnapshot = &snapshot
	return snapshot
}

// Read calls look with the board, which look must not change or keep.
//
// Example:
//
//	hub.Read(func(board *feed.Board) { fleet = board.Fleet })
func (h *Hub) Read(inspect func(*Replica)) {
	h.lock.Lock()
	defer h.lock.Unlock()
	inspect(h.replica)
}

// Followers names those who follow now.
//
// Example:
//
//	count := len(hub.Followers())
func (h *Hub) Followers() (names []string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, name := range h.names {
		names = append(names, name)
	}
	return names
}

// Handle answers a follower: with what it missed, where that is still kept, or
// else with a checkpoint; and from then on with all news.
//
// Example:
//
//	rpc.Serve(listener, rpc.Handlers{feed.KindFollow: hub.Handle}, silence)
func (h *Hub) Handle(call rpc.Call) {
	var request FollowRequest
	if rpc.Unpack(call.Body, &request) != nil {
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
		<-call.Ended
		h.lock.Lock()
		defer h.lock.Unlock()
		delete(h.subscribers, id)
		delete(h.names, id)
	}()
}
