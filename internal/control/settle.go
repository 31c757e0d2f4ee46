package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

const settlePause = 150 * time.Millisecond

// settle brings the node from what its disk holds to a trusted member: a whole
// new system trusts its first view at once; a node whose disk was lost, or one
// that is new, waits until no vote round can still count an old vote of its
// own, reads what the others hold, and only then votes.
func (b *box) settle(ctx context.Context) {
	p := b.set.Load().Platform
	var isEmpty bool
	b.keeper.read(func(t *tables) { isEmpty = t.isEmpty })
	if first := membership.FirstView(b.seeds()); isEmpty && p.Bootstrap && first.Has(b.self) {
		b.adopt(first)
		b.trust()
		return
	}
	began := b.clock.Steady()
	for ctx.Err() == nil {
		b.findView()
		view, isTrusted := b.view(), false
		b.keeper.read(func(t *tables) { isTrusted = t.isTrusted })
		switch {
		case view.Has(b.self) && isTrusted:
			b.clock.Sleep(10 * settlePause)
		case view.Has(b.self):
			// Twice the span: the round and its messages on their way.
			if wait := 2*b.set.Load().Tuning.VoteSpan.Std() - time.Duration(b.clock.Steady()-began); wait > 0 {
				b.clock.Sleep(wait)
			}
			if b.rebuild(view) {
				b.trust()
			}
		case view.Epoch > 0:
			b.distrust()
			for _, member := range view.Members {
				b.line(member).Send(messages.KindJoin, messages.Join{Address: b.self}, nil)
			}
		}
		b.clock.Sleep(settlePause)
	}
}

func (b *box) trust() { b.setTrust(true) }

// distrust is what a member does that finds itself out of the view: what it
// holds may be behind, so it must rebuild before it votes again.
func (b *box) distrust() { b.setTrust(false) }

func (b *box) setTrust(isTrusted bool) {
	b.note("info", "trust", "trusted", isTrusted)
	b.keeper.keep(func(t *tables) []record {
		if t.isTrusted == isTrusted && !t.isEmpty {
			return nil
		}
		r := record{Trusted: &isTrusted}
		t.apply(r)
		b.awaitPromises(t)
		return []record{r}
	}, 5*time.Second)
}

func (b *box) findView() {
	var best membership.View
	askAll(b, b.known(), messages.KindView, struct{}{}, askSpan, func(_ string, view membership.View) bool {
		if view.Epoch > best.Epoch {
			best = view
		}
		return false
	})
	if best.Epoch > 0 {
		b.adopt(best)
	}
}

// rebuild reads all that enough of the other members hold and keeps the union.
func (b *box) rebuild(view membership.View) bool {
	read := 0
	for _, member := range view.Members {
		if member == b.self {
			continue
		}
		pages, err := b.dump(member, view.Epoch)
		if err != nil {
			b.note("info", "rebuild", "member", member, "error", err)
			continue
		}
		isKept := b.keeper.keep(func(t *tables) []record { return t.union(pages) }, 10*time.Second)
		if !isKept {
			return false
		}
		read++
	}
	if read < view.ReadSet() || !b.registrar.rebuild(view) {
		return false
	}
	b.announce()
	return b.view().Epoch == view.Epoch
}

func (t *tables) union(pages []messages.Page) (out []record) {
	for _, page := range pages {
		for _, entry := range t.voter.Union(page.Entries) {
			out = append(out, record{Entry: &entry})
		}
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
	}
	out = append(out, t.unionTrials(pages)...)
	return out
}

func (b *box) dump(member string, epoch membership.Epoch) (pages []messages.Page, err error) {
	ended := make(chan error, 1)
	end := func(err error) {
		select {
		case ended <- err:
		default:
		}
	}
	forget := b.line(member).Send(messages.KindDump, messages.Dump{Epoch: epoch}, func(body []byte, err error) {
		var page messages.Page
		if err == nil {
			err = rpc.Unpack(body, &page)
		}
		if err == nil && !page.OK {
			err = errors.NotValidf("the member's epoch")
		}
		if err != nil {
			end(err)
			return
		}
		if pages = append(pages, page); page.IsLast {
			end(nil)
		}
	})
	defer forget()
	alarm := time.NewTimer(3 * time.Second)
	defer alarm.Stop()
	select {
	case err = <-ended:
		return pages, err
	case <-alarm.C:
		return nil, errors.Timeoutf("dump of %s", member)
	}
}
