// Package feed brings news to the nodes: a numbered feed that is followed from
// a place on and starts from a checkpoint. The same feed runs from the core to
// the telegraphs and from a telegraph to the points beside it.
package feed

import (
	"time"

	"ploverhitch/internal/manifest"
	"ploverhitch/internal/roster"
)

// Server is one server as the platform lists it.
type Server struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Cell     string `cbor:"4,keyasint"`
	Capacity int    `cbor:"5,keyasint"`
	IsReady  bool   `cbor:"6,keyasint"`
	// WarmMs is when the server stops being slow, as wall time.
	WarmMs int64 `cbor:"7,keyasint,omitempty"`
}

// Fleet is the servers as the holder of the duty last read them; the term and
// then the count order two readings.
type Fleet struct {
	Term    uint64   `cbor:"1,keyasint"`
	Count   uint64   `cbor:"2,keyasint"`
	Servers []Server `cbor:"3,keyasint"`
	// Proxies is how many proxies share the servers' connections.
	Proxies int `cbor:"4,keyasint,omitempty"`
}

// Outranks tells whether the reading is newer than the other.
//
// Example:
//
//	if news.Fleet.Outranks(board.Fleet) { board.Fleet = *news.Fleet }
func (f Fleet) Outranks(other Fleet) bool {
	return f.Term > other.Term || f.Term == other.Term && f.Count > other.Count
}

// News is one entry of a feed. Every part of it is merged by its own order, so
// news from several nodes, late or twice, does no harm.
type News struct {
	Life  uint64          `cbor:"1,keyasint"`
	Place uint64          `cbor:"2,keyasint"`
	Items []manifest.Item `cbor:"3,keyasint,omitempty"`
	Fleet *Fleet          `cbor:"4,keyasint,omitempty"`
	View  *roster.View    `cbor:"5,keyasint,omitempty"`
	// IsCheckpoint marks the whole of what the sender holds.
	IsCheckpoint bool `cbor:"6,keyasint,omitempty"`
	// IsWhole says that the sender speaks for a majority of the core.
	IsWhole bool `cbor:"7,keyasint,omitempty"`
}

// Board is all that a node knows from news. It has one owner.
type Board struct {
	Book    manifest.Book
	Fleet   Fleet
	View    roster.View
	IsWhole bool
}

// NewBoard makes an empty board.
//
// Example:
//
//	board := feed.NewBoard()
func NewBoard() *Board { return &Board{Book: manifest.Book{}} }

// Merge takes what is newer in the news and returns just that, and whether
// there was any.
//
// Example:
//
//	if fresh, isNew := board.Merge(news); isNew { hub.Publish(fresh) }
func (b *Board) Merge(news News) (fresh News, isNew bool) {
	if fresh.Items = b.Book.Merge(news.Items); len(fresh.Items) > 0 {
		isNew = true
	}
	if news.Fleet != nil && news.Fleet.Outranks(b.Fleet) {
		b.Fleet, fresh.Fleet, isNew = *news.Fleet, news.Fleet, true
	}
	if news.View != nil && news.View.Epoch > b.View.Epoch {
		b.View, fresh.View, isNew = *news.View, news.View, true
	}
	if news.IsWhole && !b.IsWhole {
		b.IsWhole, fresh.IsWhole, isNew = true, true, true
	}
	return fresh, isNew
}

// Checkpoint is the whole board as news.
//
// Example:
//
//	hub := feed.NewHub(board.Checkpoint)
func (b *Board) Checkpoint() News {
	fleet, view := b.Fleet, b.View
	return News{Items: b.Book.Items(), Fleet: &fleet, View: &view, IsCheckpoint: true, IsWhole: b.IsWhole}
}

// SameServers tells whether two readings of the list say the same.
//
// Example:
//
//	if !feed.SameServers(last, read) { publish(read) }
func SameServers(a, z []Server) bool {
	if len(a) != len(z) {
		return false
	}
	for i := range a {
		x, y := a[i], z[i]
		if drift := x.WarmMs - y.WarmMs; drift < 500 && drift > -500 {
			x.WarmMs, y.WarmMs = 0, 0
		}
		if x != y {
			return false
		}
	}
	return true
}

// WarmLeft is how much longer the server stays slow.
//
// Example:
//
//	isSlow := server.WarmLeft(time.Now()) > 0
func (s Server) WarmLeft(now time.Time) time.Duration {
	return max(0, time.UnixMilli(s.WarmMs).Sub(now))
}
