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
type Follow struct {
	Life  uint64 `cbor:"1,keyasint"`
	Place uint64 `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"`
}

const keptNews = 128

// GrantSpan is how long a share is granted for, from when it was heard of.
const GrantSpan = 1200 * time.Millisecond

// Hub numbers news and gives it to its followers. The life is drawn anew at
// each start, so that places of an earlier life are not taken for its own.
type Hub struct {
	life  uint64
	lock  sync.Mutex
	board *Board
	place uint64
	kept  []News
	next  uint64
	out   map[uint64]func(any) bool
	names map[uint64]string
	now   func() time.Time
	// fleetAt is when the fleet was last told.
	fleetAt time.Time
	// checkpoint is the last one made, while nothing has changed.
	checkpoint *News
}

// NewHub makes a hub with an empty board.
//
// Example:
//
//	hub := feed.NewHub()
//	handlers[feed.KindFollow] = hub.Handle
func NewHub() *Hub {
	return &Hub{life: rand.Uint64(), board: NewBoard(), out: map[uint64]func(any) bool{}, names: map[uint64]string{}, now: time.Now}
}

// Publish merges news into the hub's board and passes on what was newer.
//
// Example:
//
//	hub.Publish(feed.News{Items: items})
func (h *Hub) Publish(news News) (fresh News, isNew bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	held := h.board.Fleet
	fresh, isNew = h.board.Merge(news)
	if !isNew {
		return fresh, false
	}
	h.place++
	whole := fresh.Fleet
	if whole != nil {
		h.fleetAt = h.now()
	}
	if whole != nil && held.Count > 0 {
		// Followers are told what has changed, not the fleet once more.
		change := whole.ChangeOf(held)
		fresh.Fleet = &change
	}
	fresh.Life, fresh.Place = h.life, h.place
	fresh, h.checkpoint = fresh.pack(), nil
	if h.kept = append(h.kept, fresh); len(h.kept) > keptNews {
		h.kept = append([]News(nil), h.kept[len(h.kept)-keptNews/2:]...)
	}
	for number, send := range h.out {
		if !send(fresh) {
			delete(h.out, number)
			delete(h.names, number)
		}
	}
	fresh.Fleet, fresh.packed = whole, nil
	return fresh, true
}

// whole is the checkpoint of the hub's place. It is written once for all that ask
// while nothing changes, as after a restart of everything.
func (h *Hub) whole() News {
	isLapsed := h.now().Sub(h.fleetAt) > GrantSpan
	if h.checkpoint != nil && !(isLapsed && h.checkpoint.Fleet.HoldsGrants()) {
		return *h.checkpoint
	}
	made := h.board.Checkpoint()
	if isLapsed {
		// Grants that lapsed here are no grants to a newcomer.
		made.Fleet.Shares, made.Fleet.Stages, made.Fleet.Cutoffs, made.Fleet.Mirrors = nil, nil, nil, nil
	}
	made.Life, made.Place = h.life, h.place
	made = made.pack()
	h.checkpoint = &made
	return made
}

// Read calls look with the board, which look must not change or keep.
//
// Example:
//
//	hub.Read(func(board *feed.Board) { fleet = board.Fleet })
func (h *Hub) Read(look func(*Board)) {
	h.lock.Lock()
	defer h.lock.Unlock()
	look(h.board)
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
	var follow Follow
	if rpc.Decode(call.Body, &follow) != nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	missed := h.place - follow.Place
	if follow.Life == h.life && follow.Place <= h.place && missed <= uint64(len(h.kept)) {
		for _, news := range h.kept[uint64(len(h.kept))-missed:] {
			call.Reply(news)
		}
	} else {
		call.Reply(h.whole())
	}
	h.next++
	number := h.next
	h.out[number], h.names[number] = call.Reply, follow.Name
	go func() {
		<-call.Closed
		h.lock.Lock()
		defer h.lock.Unlock()
		delete(h.out, number)
		delete(h.names, number)
	}()
}
