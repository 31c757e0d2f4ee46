package control

import (
	"slices"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const (
	// standbyPart is the part of the silence after which the duty moves that its
	// holder's watchers wait before they read the platform's list in its stead.
	standbyPart = 0.5
	// standbyLongest bounds it: by then another member has the duty, or this node
	// does not hear of it.
	standbyLongest = 4 * time.Second
)

// standsBy tells whether this node is to read the list in the stead of the holder
// of the duty: it watches the holder, and has not heard of it for a while. The duty
// itself moves later; that servers leave cannot wait for it.
func (n *node) standsBy() bool {
	var view membership.View
	holder := ""
	n.hub.Read(func(board *feed.Board) { view, holder = board.View, board.Fleet.Holder })
	if holder == "" || holder == n.self || !view.Has(n.self) {
		return false
	}
	if !slices.Contains(membership.Watchers(view.Members, holder, watcherCount), n.self) {
		return false
	}
	var silence time.Duration
	n.inMemberLoop(func() { silence = n.watch.Silence(holder, n.began) })
	patience := time.Duration(standbyPart * float64(n.set.Load().Tuning.SilentAfter))
	return silence > patience && silence < standbyLongest
}

// tellLeaving tells every member which servers the list shows leaving that the
// fleet still calls ready.
func (n *node) tellLeaving(servers []feed.Server) {
	var view membership.View
	var leaving messages.Leaving
	n.hub.Read(func(board *feed.Board) { view, leaving.IDs = board.View, board.Fleet.StillReady(servers) })
	if len(leaving.IDs) == 0 {
		return
	}
	for _, member := range view.Members {
		if member != n.self {
			n.line(member).Send(messages.KindLeaving, leaving, nil)
		}
	}
	n.hub.Publish(feed.News{Leaving: leaving.IDs})
}

// onLeaving passes on to this node's followers which servers leave.
func (n *node) onLeaving(in messages.Leaving, _ func(messages.Done)) {
	n.hub.Publish(feed.News{Leaving: in.IDs})
}
