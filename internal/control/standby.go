package control

import (
	"sync"
	"time"

	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

// aloneLongest is for how long a node without contact to a majority reads the list
// unless it hears of another's reading: many such nodes would use up the platform's
// rate, and those in contact are told of its readings by each other.
const isolatedReadLimit = 4 * time.Second

// listWatch is what this node knows of the readings of the platform's list, shared by
// its own reader and the calls that come in.
type listTracker struct {
	lock  sync.Mutex
	watch *listing.Watch
}

func newListTracker(now timetable.Steady) *listTracker {
	return &listTracker{watch: listing.NewWatch(now)}
}

func (t *listTracker) record(progress messages.ListProgress, now timetable.Steady) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.watch.Hear(progress.From, progress.Next.Std(), now)
	if progress.IsWhole {
		t.watch.Read(progress.Age.Std(), now)
	}
}

func (t *listTracker) age(now timetable.Steady) (age time.Duration, ok bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.watch.Age(now)
}

// share is the part of the platform's rate with which the node is to read in the holder's
// stead, 0 if it is not to.
func (t *listTracker) share(view membership.View, leader, self string, inContact bool, now timetable.Steady) float64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	share := t.watch.Share(view, leader, self, now)
	switch {
	case inContact:
		return share
	case t.watch.Silence(self, now) < isolatedReadLimit:
		return min(share, listing.AloneShare)
	default:
		return 0
	}
}

// viewAndHolder are the members and the holder of the duty, as this node's feed tells.
func (n *node) viewAndLeader() (view membership.View, leader string) {
	n.hub.Read(func(board *feed.Board) { view, leader = board.View, board.Fleet.Holder })
	return view, leader
}

// standsBy tells whether this node is to read the list in the stead of the holder of
// the duty: no page was read when it was due. Whether the holder is gone, has
// lost the duty, or is alive and cannot read makes no difference.
func (n *node) isStandbyReader() bool { return n.standbyRateShare() > 0 }

// standbyShare is the part of the platform's rate with which this node reads in the
// holder's stead, 0 if it does not.
func (n *node) standbyRateShare() float64 {
	view, leader := n.viewAndLeader()
	return n.listWatch.share(view, leader, n.self, n.hasQuorumContact(), n.clock.Steady())
}

// tellLeaving tells every member which servers the list shows leaving that nobody has
// told yet. It needs neither a term nor the disk.
func (n *node) publishLeaving(servers []feed.Server) {
	var view membership.View
	var leaving messages.Leaving
	n.hub.Read(func(board *feed.Board) { view, leaving.IDs = board.View, board.Untold(servers) })
	if len(leaving.IDs) == 0 {
		return
	}
	for _, member := range view.Others(n.self) {
		n.line(member).Send(messages.KindLeaving, leaving, nil)
	}
	n.hub.Publish(feed.News{Leaving: leaving.IDs})
}

// onLeaving passes on to this node's followers which servers leave.
func (n *node) onLeaving(in messages.Leaving, _ func(messages.Done)) {
	n.hub.Publish(feed.News{Leaving: in.IDs})
}

// tellProgress tells the other members that this node reads the list.
func (n *node) sendListProgress(progress messages.ListProgress) {
	progress.From = n.self
	n.listWatch.record(progress, n.clock.Steady())
	view, _ := n.viewAndLeader()
	for _, member := range view.Others(n.self) {
		n.line(member).Send(messages.KindListProgress, progress, nil)
	}
}

func (n *node) onListProgress(in messages.ListProgress, _ func(messages.Done)) {
	n.listWatch.record(in, n.clock.Steady())
}
