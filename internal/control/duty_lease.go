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
func (b *box) holdsLease(term uint64) bool {
	return b.lease.remaining(term, b.clock.Steady()) > 0
}

// renew asks the members for another span of the lease.
func (b *box) renew(view membership.View, term membership.Term) {
	round := b.lease.start(term.Number, view, b.clock.Steady())
	if round == 0 {
		return
	}
	b.askLease(view, messages.KindRenew, messages.Renew{Epoch: view.Epoch, Term: term}, round)
}

// askLease asks all members for one round of the lease, and tells whether a
// majority agreed.
func (b *box) askLease(view membership.View, kind rpc.Kind, in any, round lease.Round) (isHeld bool) {
	sent := b.clock.Steady()
	askAll(b, view.Members, kind, in, askSpan, func(member string, done messages.Done) bool {
		isHeld = done.OK && b.lease.acknowledge(round, member) || isHeld
		return isHeld
	})
	if isHeld {
		b.contact.note(sent, feed.Reading{})
	}
	return isHeld
}

// stepDown stops holding the duty. The members hear of it, so that the next holder
// need not wait for the end of the lease.
func (b *box) stepDown() {
	b.isHolder.Store(false)
	if b.myTerm.Swap(0) != 0 {
		go b.release()
	}
}

// handOver gives the duty up as the process ends.
func (b *box) handOver() {
	b.isFit.Store(false)
	b.isHolder.Store(false)
	if b.myTerm.Swap(0) != 0 {
		b.release()
	}
}

// release ends the lease here, and only then tells the other members.
func (b *box) release() {
	term, members := b.lease.end()
	if term == 0 {
		return
	}
	release := messages.Release{Term: membership.Term{Number: term, Holder: b.self}}
	var others []string
	for _, member := range members {
		if member != b.self {
			others = append(others, member)
		}
	}
	askAll(b, others, messages.KindRelease, release, handOverSpan, func(string, messages.Done) bool { return false })
}

// awaitPromises makes a member that is new in a view wait, as it doesn't know what
// members of the view before have promised. Before the first view there was none.
func (b *box) awaitPromises(t *tables) {
	if t.isTrusted && t.view.Epoch > 1 {
		t.grantor.Wait(b.clock.Steady())
	}
}

// onClaim grants the duty under a term above every term seen, unless a promise to
// another holder runs.
func (b *box) onClaim(in messages.Claim, answer func(messages.Done)) {
	isGranted := false
	b.keeper.put(func(t *tables) []record {
		if !b.isServing(t, in.Epoch) || !t.grantor.Claim(t.term, in.Term, b.clock.Steady()) {
			return nil
		}
		isGranted, t.term = true, in.Term
		return []record{{Term: &in.Term}}
	}, func() { answer(messages.Done{OK: isGranted}) })
}

func (b *box) onRenew(in messages.Renew, answer func(messages.Done)) {
	isRenewed := false
	b.keeper.put(func(t *tables) []record {
		isRenewed = b.isServing(t, in.Epoch) && t.grantor.Renew(t.term, in.Term, b.clock.Steady())
		return nil
	}, func() { answer(messages.Done{OK: isRenewed}) })
}

// onRelease ends the promise to a holder that has stopped, and takes it as unfit
// until it is heard again, so that the next in the order claims at once.
func (b *box) onRelease(in messages.Release, answer func(messages.Done)) {
	b.keeper.put(func(t *tables) []record {
		t.grantor.Release(t.term, in.Term)
		return nil
	}, func() {
		answer(messages.Done{OK: true})
		b.roll.Offer(func() {
			b.watch.Hear(membership.Beat{From: in.Term.Holder})
			b.beat()
		})
	})
}
