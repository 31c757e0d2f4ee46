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
const aloneLongest = 4 * time.Second

// listWatch is what this node knows of the readings of the platform's list, shared by
// its own reader and the calls that come in.
type listWatch struct {
	lock  sync.Mutex
	watch *listing.Watch
}

func newListWatch(now timetable.Steady) *listWatch { return &listWatch{watch: listing.NewWatch(now)} }

func (l *listWatch) hear(told messages.ListProgress, now timetable.Steady) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.watch.Hear(told.From, told.Next.Std(), now)
	if told.IsWhole {
		l.watch.Read(told.Age.Std(), now)
	}
}

func (l *listWatch) age(now timetable.Steady) (age time.Duration, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.watch.Age(now)
}

// share is the part of the platform's rate with which the node is to read in the holder's
// stead, 0 if it is not to.
func (l *listWatch) share(view membership.View, holder, self string, isInContact bool, now timetable.Steady) float64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	share := l.watch.Share(view, holder, self, now)
	switch {
	case isInContact:
		return share
	case l.watch.Silence(self, now) < aloneLongest:
		return min(share, listing.AloneShare)
	default:
		return 0
	}
}

// viewAndHolder are the members and the holder of the duty, as this node's feed tells.
func (n *node) viewAndHolder() (view membership.View, holder string) {
	n.hub.Read(func(board *feed.Board) { view, holder = board.View, board.Fleet.Holder })
	return view, holder
}

// standsBy tells whether this node is to read the list in the stead of the holder of
// the duty: no page was read when it was due. Whether the holder is gone, has
// lost the duty, or is alive and cannot read makes no difference.
func (n *node) standsBy() bool { return n.standbyShare() > 0 }

// standbyShare is the part of the platform's rate with which this node reads in the
// holder's stead, 0 if it does not.
func (n *node) standbyShare() float64 {
	view, holder := n.viewAndHolder()
	return n.listWatch.share(view, holder, n.self, n.isInContact(), n.clock.Steady())
}

// tellLeaving tells every member which servers the list shows leaving that nobody has
// told yet. It needs neither a term nor the disk.
func (n *node) tellLeaving(servers []feed.Server) {
	var view membership.View
	var leaving messages.Leaving
	n.hub.Read(func(board *feed.Board) { view, leaving.IDs = board.View, board.Untold(servers) })
	if len(leaving.IDs) == 0 {
		return
	}
	for _, member := range view.Others(n.self) {
		n.connection(member).Send(messages.KindLeaving, leaving, nil)
	}
	n.hub.Publish(feed.News{Leaving: leaving.IDs})
}

// onLeaving passes on to this node's followers which servers leave.
func (n *node) onLeaving(in messages.Leaving, _ func(messages.Done)) {
	n.hub.Publish(feed.News{Leaving: in.IDs})
}

// tellProgress tells the other members that this node reads the list.
func (n *node) tellProgress(told messages.ListProgress) {
	told.From = n.self
	n.listWatch.hear(told, n.clock.Steady())
	view, _ := n.viewAndHolder()
	for _, member := range view.Others(n.self) {
		n.connection(member).Send(messages.KindListProgress, told, nil)
	}
}

func (n *node) onListProgress(in messages.ListProgress, _ func(messages.Done)) {
	n.listWatch.hear(in, n.clock.Steady())
}
