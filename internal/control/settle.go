package control

import (
	"context"
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const settlePause = 150 * time.Millisecond

// settle brings the node from what its disk holds to a trusted member: a whole
// new system trusts its first view at once; a node whose disk was lost, or one
// that is new, waits until no vote round can still count an old vote of its
// own, reads what the others hold, and only then votes.
func (n *node) settle(ctx context.Context) {
	p := n.set.Load().Platform
	var isEmpty bool
	n.store.read(func(t *tables) { isEmpty = t.isEmpty })
	if first := membership.FirstView(n.seeds()); isEmpty && p.Bootstrap && first.Has(n.self) {
		n.adopt(first)
		n.trust()
	}
	// since is when this node last may have answered as a trusted member.
	since := n.clock.Steady()
	for ctx.Err() == nil {
		n.findView()
		view, isTrusted := n.view(), false
		n.store.read(func(t *tables) { isTrusted = t.isTrusted })
		switch {
		case view.Has(n.self) && isTrusted:
			n.clock.Sleep(10 * settlePause)
		case view.Has(n.self):
			// Twice the span: the round and its messages on their way.
			if wait := 2*n.voteSpan() - time.Duration(n.clock.Steady()-since); wait > 0 {
				n.clock.Sleep(wait)
			}
			if n.rebuild(view) {
				n.trust()
			}
		case view.Epoch > 0:
			if isTrusted {
				n.distrust()
				since = n.clock.Steady()
			}
			for _, member := range view.Members {
				n.line(member).Send(messages.KindJoin, messages.Join{Address: n.self}, nil)
			}
		}
		n.clock.Sleep(settlePause)
	}
}

func (n *node) trust() { n.setTrust(true) }

// distrust is what a member does that finds itself out of the view: what it
// holds may be behind, so it must rebuild before it votes again.
func (n *node) distrust() { n.setTrust(false) }

func (n *node) setTrust(isTrusted bool) {
	n.note("info", "trust", "trusted", isTrusted)
	n.store.keep(func(t *tables) []record {
		if t.isTrusted == isTrusted && !t.isEmpty {
			return nil
		}
		r := record{Trusted: &isTrusted}
		t.apply(r)
		n.waitForEarlierPromises(t)
		return []record{r}
	}, 5*time.Second)
}

func (n *node) findView() {
	var best membership.View
	askAll(n, n.known(), messages.KindView, struct{}{}, askSpan, func(_ string, view membership.View) bool {
		if view.Epoch > best.Epoch {
			best = view
		}
		return false
	})
	if best.Epoch > 0 {
		n.adopt(best)
	}
}

// rebuild reads what the other members hold and keeps the union. It tells whether
// enough of them were read.
func (n *node) rebuild(view membership.View) bool {
	var readings readings
	for _, member := range view.Others(n.self) {
		isTrusted, err := n.readMember(member, view.Epoch)
		if err != nil {
			n.note("info", "rebuild", "member", member, "error", err)
			continue
		}
		if readings.add(isTrusted); readings.trusted >= view.ReadSet() {
			break
		}
	}
	if !readings.suffice(view) || !n.registrar.rebuild(view) {
		return false
	}
	if readings.trusted < view.ReadSet() {
		n.note("error", "more members lost their disks than the view bears: going on with what is left", "trusted", readings.trusted, "needed", view.ReadSet())
	}
	n.announce()
	return n.view().Epoch == view.Epoch
}

// readings counts the members that were read whole.
type readings struct{ whole, trusted int }

func (r *readings) add(isTrusted bool) {
	r.whole++
	if isTrusted {
		r.trusted++
	}
}

// suffice tells whether whatever a majority held was seen. Only trusted members
// count: another that lost its disk has forgotten its part in a majority. Where all
// other members were read and still too few are trusted, nobody is left who could
// teach more, and waiting would only keep the system down.
func (r *readings) suffice(view membership.View) bool {
	return r.trusted >= view.ReadSet() || r.whole >= len(view.Members)-1
}

// readMember reads all that a member holds, and tells whether it is trusted.
func (n *node) readMember(member string, epoch membership.Epoch) (isTrusted bool, err error) {
	if _, err = n.copyIntents(member, epoch, copyAtOnce); err != nil {
		return false, err
	}
	var page messages.Page
	if err = n.line(member).Ask(messages.KindDump, messages.Dump{Epoch: epoch}, &page, repairSpan); err != nil {
		return false, err
	}
	if !page.OK {
		return false, errOtherEpoch
	}
	if !n.store.keep(func(t *tables) []record { return t.union(page) }, keepLongest) {
		return false, errNotKept
	}
	return page.IsTrusted, nil
}

// union takes what another member holds beside the intents.
func (t *tables) union(page messages.Page) (out []record) {
	if page.Term.Number > t.term.Number {
		term := page.Term
		t.term = term
		out = append(out, record{Term: &term})
	}
	if a := page.Acceptor; t.acceptor.Behind(a) {
		t.acceptor = t.acceptor.Join(a)
		joined := t.acceptor
		out = append(out, record{Acceptor: &joined})
	}
	out = append(out, t.unionTrials(page)...)
	return out
}
