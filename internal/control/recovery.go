package control

import (
	"context"
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const recoveryInterval = 150 * time.Millisecond

// settle brings the node from what its disk holds to a trusted member: a whole
// new system trusts its first view at once; a node whose disk was lost, or one
// that is new, waits until no vote round can still count an old vote of its
// own, reads what the others hold, and only then votes.
func (n *node) recoverState(ctx context.Context) {
	p := n.settings.Load().Platform
	var empty bool
	n.store.read(func(t *tables) { empty = t.empty })
	if first := membership.FirstView(n.seedAddresses()); empty && p.Bootstrap && first.Has(n.self) {
		n.adoptView(first)
		n.trust()
	}
	// since is when this node last may have answered as a trusted member.
	untrustedSince := n.clock.Steady()
	for ctx.Err() == nil {
		n.discoverView()
		view, trusted := n.view(), false
		n.store.read(func(t *tables) { trusted = t.trusted })
		switch {
		case view.Has(n.self) && trusted:
			n.clock.Sleep(10 * recoveryInterval)
		case view.Has(n.self):
			// Twice the span: the round and its messages on their way.
			if wait := 2*n.voteTimeout() - time.Duration(n.clock.Steady()-untrustedSince); wait > 0 {
				n.clock.Sleep(wait)
			}
			if n.rebuild(view) {
				n.trust()
			}
		case view.Epoch > 0:
			if trusted {
				n.distrust()
				untrustedSince = n.clock.Steady()
			}
			for _, member := range view.Members {
				n.connection(member).Send(messages.KindJoin, messages.Join{Address: n.self}, nil)
			}
		}
		n.clock.Sleep(recoveryInterval)
	}
}

func (n *node) trust() { n.setTrusted(true) }

// distrust is what a member does that finds itself out of the view: what it
// holds may be behind, so it must rebuild before it votes again.
func (n *node) distrust() { n.setTrusted(false) }

func (n *node) setTrusted(trusted bool) {
	n.log("info", "trust", "trusted", trusted)
	n.store.persist(func(t *tables) []record {
		if t.trusted == trusted && !t.empty {
			return nil
		}
		r := record{Trusted: &trusted}
		t.apply(r)
		n.awaitPromises(t)
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

// rebuild reads what the other members hold and keeps the union. It tells whether
// enough of them were read.
func (n *node) rebuild(view membership.View) bool {
	var progress readProgress
	for _, member := range view.Others(n.self) {
		trusted, err := n.copyMember(member, view.Epoch)
		if err != nil {
			n.log("info", "rebuild", "member", member, "error", err)
			continue
		}
		if progress.add(trusted); progress.trusted >= view.ReadSet() {
			break
		}
	}
	if !progress.sufficient(view) || !n.configReplicator.rebuild(view) {
		return false
	}
	if progress.trusted < view.ReadSet() {
		n.log("error", "more members lost their disks than the view bears: going on with what is left", "trusted", progress.trusted, "needed", view.ReadSet())
	}
	n.publishState()
	return n.view().Epoch == view.Epoch
}

// readings counts the members that were read whole.
type readProgress struct{ complete, trusted int }

func (r *readProgress) add(trusted bool) {
	r.complete++
	if trusted {
		r.trusted++
	}
}

// suffice tells whether whatever a majority held was seen. Only trusted members
// count: another that lost its disk has forgotten its part in a majority. Where all
// other members were read and still too few are trusted, nobody is left who could
// teach more, and waiting would only keep the system down.
func (r *readProgress) sufficient(view membership.View) bool {
	return r.trusted >= view.ReadSet() || r.complete >= len(view.Members)-1
}

// readMember reads all that a member holds, and tells whether it is trusted.
func (n *node) copyMember(member string, epoch membership.Epoch) (trusted bool, err error) {
	if _, err = n.copyIntents(member, epoch, copyAtOnce); err != nil {
		return false, err
	}
	var page messages.Page
	if err = n.connection(member).Ask(messages.KindDump, messages.Dump{Epoch: epoch}, &page, repairSpan); err != nil {
		return false, err
	}
	if !page.OK {
		return false, errOtherEpoch
	}
	if !n.store.persist(func(t *tables) []record { return t.union(page) }, keepLongest) {
		return false, errNotKept
	}
	return page.IsTrusted, nil
}

// union takes what another member holds beside the intents.
func (t *tables) union(page messages.Page) (records []record) {
	if page.Term.Number > t.term.Number {
		term := page.Term
		t.term = term
		records = append(records, record{Term: &term})
	}
	if a := page.Acceptor; t.acceptor.Behind(a) {
		t.acceptor = t.acceptor.Join(a)
		joined := t.acceptor
		records = append(records, record{Acceptor: &joined})
	}
	records = append(records, t.unionTrials(page)...)
	return records
}
