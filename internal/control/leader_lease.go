package control

import (
	"sync"
	"time"

	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
)

const (
	// leaseParts and leaseOf make the lease shorter than the silence after which a
	// member counts as gone, so that a takeover doesn't wait for the lease as well.
	leaseNumerator   = 3
	leaseDenominator = 4
	// handOverSpan is how long a process that ends waits for members to hear of it.
	releaseTimeout = 150 * time.Millisecond
)

// leaseSpan is for how long members promise the duty to its holder. All members of
// a core must be set alike.
func leaseDuration(tuning settings.Tuning) time.Duration {
	return tuning.SilentAfter.Std() * leaseNumerator / leaseDenominator
}

// dutyLease is this node's lease of the duty, shared by the loops that renew it
// and those that publish under it.
type leaderLease struct {
	lock   sync.Mutex
	holder *lease.Holder
	// term and members are those of the newest round.
	term    uint64
	members []string
}

func newLeaderLease(duration time.Duration) *leaderLease {
	return &leaderLease{holder: lease.NewHolder(duration)}
}

func (l *leaderLease) startRound(term uint64, view membership.View, now timetable.Steady) lease.Round {
	l.lock.Lock()
	defer l.lock.Unlock()
	round := l.holder.Start(term, view, now)
	if round != 0 {
		l.term, l.members = term, view.Members
	}
	return round
}

func (l *leaderLease) acknowledge(round lease.Round, member string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.holder.Acknowledge(round, member)
}

func (l *leaderLease) remaining(term uint64, now timetable.Steady) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.holder.Remaining(term, now)
}

// end gives the lease up, and tells its term and who must hear of that.
func (l *leaderLease) end() (term uint64, members []string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	term, members = l.term, l.members
	l.holder.End()
	l.term, l.members = 0, nil
	return term, members
}

// holdsLease tells whether this node may publish under the term at this moment.
func (n *node) holdsLease(term uint64) bool {
	return n.lease.remaining(term, n.clock.Steady()) > 0
}

// renew asks the members for another span of the lease.
func (n *node) renewLease(view membership.View, term membership.Term) {
	round := n.lease.startRound(term.Number, view, n.clock.Steady())
	if round == 0 {
		return
	}
	n.requestLease(view, messages.KindRenew, messages.Renew{Epoch: view.Epoch, Term: term}, round)
}

// askLease asks all members for one round of the lease, and tells whether a
// majority agreed.
func (n *node) requestLease(view membership.View, kind rpc.Kind, request any, round lease.Round) (held bool) {
	sent := n.clock.Steady()
	askAll(n, view.Members, kind, request, askSpan, func(member string, done messages.Done) bool {
		held = done.OK && n.lease.acknowledge(round, member) || held
		return held
	})
	if held {
		n.contact.record(sent, feed.Reading{})
	}
	return held
}

// stepDown stops holding the duty. The members hear of it, so that the next holder
// need not wait for the end of the lease.
func (n *node) stepDown() {
	n.isHolder.Store(false)
	if n.myTerm.Swap(0) != 0 {
		go n.release()
	}
}

// handOver gives the duty up as the process ends.
func (n *node) releaseOnShutdown() {
	n.isFit.Store(false)
	n.isHolder.Store(false)
	if n.myTerm.Swap(0) != 0 {
		n.release()
	}
}

// release ends the lease here, and only then tells the other members.
func (n *node) release() {
	term, members := n.lease.end()
	if term == 0 {
		return
	}
	release := messages.Release{Term: membership.Term{Number: term, Holder: n.self}}
	var others []string
	for _, member := range members {
		if member != n.self {
			others = append(others, member)
		}
	}
	askAll(n, others, messages.KindRelease, release, releaseTimeout, func(string, messages.Done) bool { return false })
}

// awaitPromises makes a member that is new in a view wait, as it doesn't know what
// members of the view before have promised. Before the first view there was none.
func (n *node) waitForEarlierPromises(t *tables) {
	if t.isTrusted && t.view.Epoch > 1 {
		t.grantor.Wait(n.clock.Steady())
	}
}

// onClaim grants the duty under a term above every term seen, unless a promise to
// another holder runs.
func (n *node) onClaim(in messages.Claim, answer func(messages.Done)) {
	granted := false
	n.store.put(func(t *tables) []record {
		if !n.isServing(t, in.Epoch) || !t.grantor.Claim(t.term, in.Term, n.clock.Steady()) {
			return nil
		}
		granted, t.term = true, in.Term
		return []record{{Term: &in.Term}}
	}, func() { answer(messages.Done{OK: granted}) })
}

func (n *node) onRenew(in messages.Renew, answer func(messages.Done)) {
	renewed := false
	n.store.put(func(t *tables) []record {
		renewed = n.isServing(t, in.Epoch) && t.grantor.Renew(t.term, in.Term, n.clock.Steady())
		return nil
	}, func() { answer(messages.Done{OK: renewed}) })
}

// onRelease ends the promise to a holder that has stopped, and takes it as unfit
// until it is heard again, so that the next in the order claims at once.
func (n *node) onRelease(in messages.Release, answer func(messages.Done)) {
	n.store.put(func(t *tables) []record {
		t.grantor.Release(t.term, in.Term)
		return nil
	}, func() {
		answer(messages.Done{OK: true})
		n.memberLoop.Offer(func() {
			n.watch.Hear(membership.Beat{From: in.Term.Holder})
			n.heartbeat()
		})
	})
}
