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
func (h *Hub) Publish(news Update) (fresh Update, isNew bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	held := h.replica.Fleet
	fresh, isNew = h.replica.Merge(news)
	if !isNew {
		return fresh, false
	}
	h.sequence++
	whole := fresh.Fleet
	if whole != nil {
		h.fleetPublishedAt = h.now()
	}
	if whole != nil && held.Count > 0 {
		// Followers are told what has changed, not the fleet once more.
		change := whole.DiffFrom(held)
		fresh.Fleet = &change
	}
	fresh.Incarnation, fresh.Sequence = h.incarnation, h.sequence
	fresh, h.cachedSnapshot = fresh.encode(), nil
	if h.history = append(h.history, fresh); len(h.history) > maxHistory {
		h.history = append([]Update(nil), h.history[len(h.history)-maxHistory/2:]...)
	}
	for number, send := range h.subscribers {
		if !send(fresh) {
			delete(h.subscribers, number)
			delete(h.names, number)
		}
	}
	fresh.Fleet, fresh.encoded = whole, nil
	return fresh, true
}

// whole is the checkpoint of the hub's place. It is written once for all that ask
// while nothing changes, as after a restart of everything.
func (h *Hub) snapshot() Update {
	isLapsed := h.now().Sub(h.fleetPublishedAt) > GrantDuration
	if h.cachedSnapshot != nil && !(isLapsed && h.cachedSnapshot.Fleet.HasGrants()) {
		return *h.cachedSnapshot
	}
	made := h.replica.Snapshot()
	if isLapsed {
		// Grants that lapsed here are no grants to a newcomer.
		made.Fleet.Shares, made.Fleet.Stages, made.Fleet.Cutoffs, made.Fleet.Mirrors = nil, nil, nil, nil
	}
	made.Incarnation, made.Sequence = h.incarnation, h.sequence
	made = made.encode()
	h.cachedSnapshot = &made
	return made
}

// Read calls look with the board, which look must not change or keep.
//
// Example:
//
//	hub.Read(func(board *feed.Board) { fleet = board.Fleet })
func (h *Hub) Read(look func(*Replica)) {
	h.lock.Lock()
	defer h.lock.Unlock()
	look(h.replica)
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
	var follow FollowRequest
	if rpc.Unpack(call.Body, &follow) != nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	missed := h.sequence - follow.Sequence
	if follow.Incarnation == h.incarnation && follow.Sequence <= h.sequence && missed <= uint64(len(h.history)) {
		for _, news := range h.history[uint64(len(h.history))-missed:] {
			call.Reply(news)
		}
	} else {
		call.Reply(h.snapshot())
	}
	h.lastID++
	number := h.lastID
	h.subscribers[number], h.names[number] = call.Reply, follow.Name
	go func() {
		<-call.Ended
		h.lock.Lock()
		defer h.lock.Unlock()
		delete(h.subscribers, number)
		delete(h.names, number)
	}()
}
