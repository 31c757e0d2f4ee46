package control

import (
	"context"
	"fmt"
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const recoveryInterval = 150 * time.Millisecond

// recoverState turns a started node into a trusted member, which may vote. In a
// system that is being bootstrapped, a node with an empty disk trusts itself in the
// first view at once. A node that is new or lost its disk first waits until no round
// can still count a vote that it gave earlier, then reads the state of the other
// members, and only then votes.
func (n *node) recoverState(ctx context.Context) {
	p := n.settings.Load().Platform
	var empty bool
	n.store.read(func(t *tables) { empty = t.empty })
	if first := membership.FirstView(n.seedAddresses()); empty && p.Bootstrap && first.Contains(n.self) {
		n.adoptView(first)
		n.trust()
	}
	// untrustedSince is the latest time at which this node may have voted as a trusted
	// member.
	untrustedSince := n.clock.Monotonic()
	for ctx.Err() == nil {
		n.discoverView()
		view, trusted := n.view(), false
		n.store.read(func(t *tables) { trusted = t.trusted })
		switch {
		case view.Contains(n.self) && trusted:
			n.recovery.enter(phaseServing, "", n.clock.Monotonic())
			n.clock.Sleep(10 * recoveryInterval)
		case view.Contains(n.self):
			// Twice the vote timeout covers the round and its messages in transit.
			if wait := 2*n.voteTimeout() - time.Duration(n.clock.Monotonic()-untrustedSince); wait > 0 {
				n.recovery.enter(phaseWaiting, "", n.clock.Monotonic())
				n.clock.Sleep(wait)
			}
			if n.rebuild(view) {
				n.trust()
				// The leader changes the view further only once it knows.
				n.memberLoop.Offer(n.heartbeat)
			}
		case view.Epoch == 0:
			n.recovery.enter(phaseNoView, "", n.clock.Monotonic())
		default:
			if trusted {
				n.distrust()
				untrustedSince = n.clock.Monotonic()
			}
			n.recovery.enter(phaseJoining, fmt.Sprintf("epoch %d", view.Epoch), n.clock.Monotonic())
			for _, member := range view.Members {
				n.connection(member).Send(messages.KindJoin, messages.Join{Address: n.self}, nil)
			}
		}
		n.clock.Sleep(recoveryInterval)
	}
}

func (n *node) trust() { n.setTrusted(true) }

// distrust is called by a member that finds itself outside the view: its state may
// be out of date, so it must rebuild before it votes again.
func (n *node) distrust() { n.setTrusted(false) }

func (n *node) setTrusted(trusted bool) {
	n.log("info", "setting the trusted state of this member", "trusted", trusted)
	n.store.persist(func(t *tables) []record {
		if t.trusted == trusted && !t.empty {
			return nil
		}
		r := record{Trusted: &trusted}
		t.apply(r)
		n.waitForEarlierPromises(t)
		return []record{r}
	}, 5*time.Second)
}

func (n *node) discoverView() {
	var newest membership.View
	callAll(n, n.contactAddresses(), messages.KindView, struct{}{}, callTimeout, func(_ string, view membership.View) bool {
		if view.Epoch > newest.Epoch {
			newest = view
		}
		return false
	})
	if newest.Epoch > 0 {
		n.adoptView(newest)
	}
}

// rebuild reads the state of the other members and persists the union. It reports
// whether enough members were read.
func (n *node) rebuild(view membership.View) bool {
	var progress readProgress
	n.recovery.enter(phaseRebuilding, progress.describe(view), n.clock.Monotonic())
	for _, member := range view.Others(n.self) {
		trusted, err := n.copyMember(member, view.Epoch)
		if err != nil {
			n.log("info", "cannot read the state of a member for the rebuild", "member", member, "error", err)
			continue
		}
		progress.add(trusted)
		n.recovery.enter(phaseRebuilding, progress.describe(view), n.clock.Monotonic())
		if progress.trusted >= view.ReadQuorum() {
			break
		}
	}
	if !progress.sufficient(view) || !n.configReplicator.rebuild(view) {
		return false
	}
	if progress.trusted < view.ReadQuorum() {
		n.log("error", "more members lost their disks than the view tolerates; continuing with the remaining state", "trusted", progress.trusted, "needed", view.ReadQuorum())
	}
	n.publishState()
	return n.view().Epoch == view.Epoch
}

// readProgress counts the members whose state was read completely.
type readProgress struct{ complete, trusted int }

func (r *readProgress) add(trusted bool) {
	r.complete++
	if trusted {
		r.trusted++
	}
}

// describe tells how far the read has come.
func (r *readProgress) describe(view membership.View) string {
	return fmt.Sprintf("epoch %d, %d of %d trusted members read", view.Epoch, r.trusted, view.ReadQuorum())
}

// sufficient reports whether everything that a majority held has been read. Only
// trusted members count, as another member that lost its disk no longer has the
// votes it gave. If all other members were read and too few of them are trusted, no
// further source of state is left and waiting would only keep the system down.
func (r *readProgress) sufficient(view membership.View) bool {
	return r.trusted >= view.ReadQuorum() || r.complete >= len(view.Members)-1
}

// copyMember copies the state of a member and reports whether that member is trusted.
func (n *node) copyMember(member string, epoch membership.Epoch) (trusted bool, err error) {
	if _, err = n.copyIntents(member, epoch, copyImmediately); err != nil {
		return false, err
	}
	var page messages.MemberStateResponse
	if err = n.connection(member).Call(messages.KindMemberState, messages.MemberState{Epoch: epoch}, &page, repairCallTimeout); err != nil {
		return false, err
	}
	if !page.OK {
		return false, errEarlierEpoch
	}
	if !n.store.persist(func(t *tables) []record { return t.union(page) }, repairPersistTimeout) {
		return false, errNotPersisted
	}
	return page.Trusted, nil
}

// union merges in another member's state other than its intents.
func (t *tables) union(page messages.MemberStateResponse) (records []record) {
	if page.Term.Number > t.term.Number {
		term := page.Term
		t.term = term
		records = append(records, record{Term: &term})
	}
	if a := page.Acceptor; t.acceptor.Behind(a) {
		t.acceptor = t.acceptor.Merge(a)
		joined := t.acceptor
		records = append(records, record{Acceptor: &joined})
	}
	records = append(records, t.mergeRollouts(page)...)
	return records
}
