package control

import (
	"sync"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// isolatedReadLimit is how long a node without quorum contact reads the list while it is
// notified of no read by another member. Many such nodes would use up the platform's rate limit;
// members with quorum contact notify each other of their reads.
const isolatedReadLimit = 4 * time.Second

// listTracker tracks the reads of the platform's server list by all members. It is shared
// by this node's poller and the handlers of incoming messages.
type listTracker struct {
	lock  sync.Mutex
	watch *listing.ReadTracker
}

func newListTracker(now clock.Instant) *listTracker {
	return &listTracker{watch: listing.NewReadTracker(now)}
}

func (t *listTracker) record(progress messages.ListProgress, now clock.Instant) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.watch.RecordPage(progress.From, progress.Next.Std(), now)
	if progress.Complete {
		t.watch.RecordList(progress.Age.Std(), now)
	}
}

func (t *listTracker) age(now clock.Instant) (age time.Duration, ok bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.watch.Age(now)
}

// share is the fraction of the platform's rate limit that this node may use as a standby
// reader, or 0 if it must not read.
func (t *listTracker) share(view membership.View, leader, self string, inContact bool, now clock.Instant) float64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	share := t.watch.StandbyShare(view, leader, self, now)
	switch {
	case inContact:
		return share
	case t.watch.SinceOtherReport(self, now) < isolatedReadLimit:
		return min(share, listing.IsolatedShare)
	default:
		return 0
	}
}

// viewAndLeader returns the view and the leader that this node's feed last published.
func (n *node) viewAndLeader() (view membership.View, leader string) {
	n.hub.Read(func(replica *feed.Replica) { view, leader = replica.View, replica.Fleet.Leader })
	return view, leader
}

// isStandbyReader reports whether this node reads the list in place of the leader because
// no page was read when it was due. It makes no difference whether the leader has failed,
// has lost leadership, or is alive and cannot read.
func (n *node) isStandbyReader() bool { return n.standbyRateShare() > 0 }

// standbyRateShare is the fraction of the platform's rate limit that this node uses as a
// standby reader, or 0 if it is none.
func (n *node) standbyRateShare() float64 {
	view, leader := n.viewAndLeader()
	return n.listReads.share(view, leader, n.self, n.hasQuorumContact(), n.clock.Monotonic())
}

// publishLeaving notifies followers and members of the draining servers in the list that
// have not been published yet. It needs neither a term nor the disk.
func (n *node) publishLeaving(servers []feed.Server) {
	var view membership.View
	var leaving messages.LeavingServers
	n.hub.Read(func(replica *feed.Replica) { view, leaving.IDs = replica.View, replica.UnreportedLeaving(servers) })
	if len(leaving.IDs) == 0 {
		return
	}
	for _, member := range view.Others(n.self) {
		n.connection(member).Send(messages.KindLeavingServers, leaving, nil)
	}
	n.hub.Publish(feed.Update{Leaving: leaving.IDs})
}

// onLeaving publishes draining servers that another member found to this node's followers.
func (n *node) onLeaving(in messages.LeavingServers, _ func(messages.Ack)) {
	n.hub.Publish(feed.Update{Leaving: in.IDs})
}

// sendListProgress reports to the other members how far this node has read the list.
func (n *node) sendListProgress(progress messages.ListProgress) {
	progress.From = n.self
	n.listReads.record(progress, n.clock.Monotonic())
	view, _ := n.viewAndLeader()
	for _, member := range view.Others(n.self) {
		n.connection(member).Send(messages.KindListProgress, progress, nil)
	}
}

// onListProgress records the progress of another member's read.
func (n *node) onListProgress(in messages.ListProgress, _ func(messages.Ack)) {
	n.listReads.record(in, n.clock.Monotonic())
}
