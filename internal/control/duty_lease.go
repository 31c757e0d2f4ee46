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
	leaseParts = 3
	leaseOf    = 4
	// handOverSpan is how long a process that ends waits for members to hear of it.
	handOverSpan = 150 * time.Millisecond
)

// leaseSpan is for how long members promise the duty to its holder. All members of
// a core must be set alike.
func leaseSpan(tuning settings.Tuning) time.Duration {
	return tuning.SilentAfter.Std() * leaseParts / leaseOf
}

// dutyLease is this node's lease of the duty, shared by the loops that renew it
// and those that publish under it.
type dutyLease struct {
	lock   sync.Mutex
	holder *lease.Holder
	// term and members are those of the newest round.
	term    uint64
	members []string
}

func newDutyLease(span time.Duration) *dutyLease {
	return &dutyLease{holder: lease.NewHolder(span)}
}

func (d *dutyLease) start(term uint64, view membership.View, now timetable.Steady) lease.Round {
	d.lock.Lock()
	defer d.lock.Unlock()
	round := d.holder.Start(term, view, now)
	if round != 0 {
		d.term, d.members = term, view.Members
	}
	return round
}

func (d *dutyLease) acknowledge(round lease.Round, member string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.holder.Acknowledge(round, member)
}

func (d *dutyLease) remaining(term uint64, now timetable.Steady) time.Duration {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.holder.Remaining(term, now)
}

// end gives the lease up, and tells its term and who must hear of that.
func (d *dutyLease) end() (term uint64, members []string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	term, members = d.term, d.members
	d.holder.End()
	d.term, d.members = 0, nil
	return term, members
}

// holdsLease tells whether this node may publish under the term at this moment.
func (n *node) holdsLease(term uint64) bool {
	return n.lease.remaining(term, n.clock.Steady()) > 0
}

// renew asks the members for another span of the lease.
func (n *node) renew(view membership.View, term membership.Term) {
	round := n.lease.start(term.Number, view, n.clock.Steady())
	if round == 0 {
		return
	}
	n.askLease(view, messages.KindRenew, messages.Renew{Epoch: view.Epoch, Term: term}, round)
}

// askLease asks all members for one round of the lease, and tells whether a
// majority agreed.
func (n *node) askLease(view membership.View, kind rpc.Kind, in any, round lease.Round) (isHeld bool) {
	sent := n.clock.Steady()
	callAll(n, view.Members, kind, in, callTimeout, func(member string, done messages.Done) bool {
		isHeld = done.OK && n.lease.acknowledge(round, member) || isHeld
		return isHeld
	})
	if isHeld {
		n.contact.note(sent, feed.Reading{})
	}
	return isHeld
}

// stepDown stops holding the duty. The members hear of it, so that the next holder
// need not wait for the end of the lease.
func (n *node) stepDown() {
	n.isLeader.Store(false)
	if n.ownTerm.Swap(0) != 0 {
		go n.release()
	}
}

// handOver gives the duty up as the process ends.
func (n *node) handOver() {
	n.eligible.Store(false)
	n.isLeader.Store(false)
	if n.ownTerm.Swap(0) != 0 {
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
	callAll(n, others, messages.KindRelease, release, handOverSpan, func(string, messages.Done) bool { return false })
}

// awaitPromises makes a member that is new in a view wait, as it doesn't know what
// members of the view before have promised. Before the first view there was none.
func (n *node) awaitPromises(t *tables) {
	if t.trusted && t.view.Epoch > 1 {
		t.grantor.Wait(n.clock.Steady())
	}
}

// onClaim grants the duty under a term above every term seen, unless a promise to
// another holder runs.
func (n *node) onClaim(in messages.Claim, answer func(messages.Done)) {
	isGranted := false
	n.store.enqueue(func(t *tables) []record {
		if !n.canVote(t, in.Epoch) || !t.grantor.Claim(t.term, in.Term, n.clock.Steady()) {
			return nil
		}
		isGranted, t.term = true, in.Term
		return []record{{Term: &in.Term}}
	}, func() { answer(messages.Done{OK: isGranted}) })
}

func (n *node) onRenew(in messages.Renew, answer func(messages.Done)) {
	isRenewed := false
	n.store.enqueue(func(t *tables) []record {
		isRenewed = n.canVote(t, in.Epoch) && t.grantor.Renew(t.term, in.Term, n.clock.Steady())
		return nil
	}, func() { answer(messages.Done{OK: isRenewed}) })
}

// onRelease ends the promise to a holder that has stopped, and takes it as unfit
// until it is heard again, so that the next in the order claims at once.
func (n *node) onRelease(in messages.Release, answer func(messages.Done)) {
	n.store.enqueue(func(t *tables) []record {
		t.grantor.Release(t.term, in.Term)
		return nil
	}, func() {
		answer(messages.Done{OK: true})
		n.memberLoop.Offer(func() {
			n.livenessWatch.Hear(membership.Beat{From: in.Term.Holder})
			n.beat()
		})
	})
}
