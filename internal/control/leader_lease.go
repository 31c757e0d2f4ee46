package control

import (
	"sync"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
)

const (
	// The lease lasts leaseNumerator/leaseDenominator of the silence after which a
	// member counts as failed, so that it has ended when another member takes over.
	leaseNumerator   = 3
	leaseDenominator = 4
	// releaseTimeout bounds how long a node waits for members to confirm a release.
	releaseTimeout = 150 * time.Millisecond
)

// leaseDuration is how long a member's promise to the leader is valid. All members must
// have the same settings.
func leaseDuration(tuning settings.Tuning) time.Duration {
	return tuning.SilenceTimeout.Std() * leaseNumerator / leaseDenominator
}

// leaderLease is this node's leader lease. It is shared by the goroutines that renew it
// and those that publish under it.
type leaderLease struct {
	lock   sync.Mutex
	holder *lease.Holder
	// term and members are those of the latest round.
	term    uint64
	members []string
}

func newLeaderLease(duration time.Duration) *leaderLease {
	return &leaderLease{holder: lease.NewHolder(duration)}
}

func (l *leaderLease) startRound(term uint64, view membership.View, now clock.Instant) lease.Round {
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

func (l *leaderLease) remaining(term uint64, now clock.Instant) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.holder.Remaining(term, now)
}

// end gives up the lease and returns its term and the members to notify.
func (l *leaderLease) end() (term uint64, members []string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	term, members = l.term, l.members
	l.holder.End()
	l.term, l.members = 0, nil
	return term, members
}

// holdsLease reports whether this node has a valid lease, and so may publish, under the term.
func (n *node) holdsLease(term uint64) bool {
	return n.lease.remaining(term, n.clock.Monotonic()) > 0
}

// renewLease asks the members to extend the lease.
func (n *node) renewLease(view membership.View, term membership.Term) {
	round := n.lease.startRound(term.Number, view, n.clock.Monotonic())
	if round == 0 {
		return
	}
	n.requestLease(view, messages.KindRenew, messages.Renew{Epoch: view.Epoch, Term: term}, round)
}

// requestLease sends one round of lease requests to all members and reports whether a
// majority agreed.
func (n *node) requestLease(view membership.View, kind rpc.Kind, request any, round lease.Round) (held bool) {
	sent := n.clock.Monotonic()
	callAll(n, view.Members, kind, request, callTimeout, func(member string, done messages.Ack) bool {
		held = done.OK && n.lease.acknowledge(round, member) || held
		return held
	})
	if held {
		n.contact.record(sent, feed.FleetVersion{})
	}
	return held
}

// stepDown gives up leadership and notifies the members, so that the next leader need not
// wait until the lease expires.
func (n *node) stepDown() {
	n.isLeader.Store(false)
	if n.ownTerm.Swap(0) != 0 {
		go n.release()
	}
}

// releaseOnShutdown gives up leadership before the process exits, and makes this node ineligible.
func (n *node) releaseOnShutdown() {
	n.eligible.Store(false)
	n.isLeader.Store(false)
	if n.ownTerm.Swap(0) != 0 {
		n.release()
	}
}

// release ends the lease locally and only then notifies the other members.
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
	callAll(n, others, messages.KindRelease, release, releaseTimeout, func(string, messages.Ack) bool { return false })
}

// waitForEarlierPromises keeps a member that is new in a view from granting the lease for
// one lease duration, as it doesn't know what members of earlier views have promised. The
// first view has no earlier promises.
func (n *node) waitForEarlierPromises(t *tables) {
	if t.trusted && t.view.Epoch > 1 {
		t.grantor.DenyClaims(n.clock.Monotonic())
	}
}

// onClaim grants the leader lease under a term higher than every term seen, unless a
// promise to another leader is still valid.
func (n *node) onClaim(in messages.Claim, reply func(messages.Ack)) {
	granted := false
	n.store.enqueue(func(t *tables) []record {
		if !n.canVote(t, in.Epoch) || !t.grantor.Claim(t.term, in.Term, n.clock.Monotonic()) {
			return nil
		}
		granted, t.term = true, in.Term
		return []record{{Term: &in.Term}}
	}, func() { reply(messages.Ack{OK: granted}) })
}

// onRenew extends the promise to the leader of the present term.
func (n *node) onRenew(in messages.Renew, reply func(messages.Ack)) {
	renewed := false
	n.store.enqueue(func(t *tables) []record {
		renewed = n.canVote(t, in.Epoch) && t.grantor.Renew(t.term, in.Term, n.clock.Monotonic())
		return nil
	}, func() { reply(messages.Ack{OK: renewed}) })
}

// onRelease ends the promise to a leader that has stepped down, and treats that member as
// ineligible until its next heartbeat, so that the next in the order claims leadership at
// once.
func (n *node) onRelease(in messages.Release, reply func(messages.Ack)) {
	n.store.enqueue(func(t *tables) []record {
		t.grantor.Release(t.term, in.Term)
		return nil
	}, func() {
		reply(messages.Ack{OK: true})
		n.memberLoop.Offer(func() {
			n.livenessWatch.Observe(membership.Heartbeat{From: in.Term.Holder})
			n.heartbeat()
		})
	})
}
