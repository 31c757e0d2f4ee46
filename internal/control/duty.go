package control

import (
	"time"

	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

const (
	watcherCount = 2
	claimPause   = 200 * time.Millisecond
)

// onRoll runs act in the roster's loop and waits for it.
func (b *box) onRoll(act func()) {
	await(b.roll, act)
}

// await runs act in a loop of acts and waits for it.
func await(loop *timetable.Loop[func()], act func()) {
	ended := make(chan struct{})
	loop.Put(func() { act(); close(ended) })
	<-ended
}

// actAll is how an owner works through a batch of acts.
func actAll(batch []func()) {
	for _, act := range batch {
		act()
	}
}

// beat is the roster's alarm: tell the watchers, then see whether a duty or the
// view has to move. What takes time is done beside the loop.
func (b *box) beat() {
	var view membership.View
	var term membership.Term
	var index registry.Index
	var isTrusted bool
	seen := b.watch.Direct()
	var held feed.Reading
	isFit := b.isFit.Load()
	first := ""
	b.keeper.put(func(t *tables) []record {
		view, term, index, isTrusted = t.view, t.term, t.registry.Index, t.isTrusted
		held = t.fleet.Reading()
		return nil
	}, func() {
		isFit = isFit && isTrusted && b.isReadyForDuty(held)
		mine := membership.Beat{From: b.self, View: view, Term: term, Index: uint64(index), Seen: seen, IsFit: isFit}
		fleet := b.fleet()
		mine.FleetTerm, mine.FleetCount = fleet.Term, fleet.Count
		for _, watcher := range membership.Watchers(view.Members, b.self, watcherCount) {
			b.line(watcher).Send(messages.KindBeat, mine, nil)
		}
		b.roll.Offer(func() {
			if !view.Has(b.self) || !isTrusted {
				b.stepDown()
				return
			}
			first = b.watch.First(view, b.self, isFit)
			b.takeDuty(view, term, first)
			if b.isHolder.Load() {
				b.tendView(view)
			}
		})
	})
}

func (b *box) takeDuty(view membership.View, term membership.Term, first string) {
	switch {
	case term.Holder == b.self && term.Number == b.myTerm.Load() && first == b.self:
		b.isHolder.Store(true)
		go b.renew(view, term)
	case first != b.self:
		b.stepDown()
	default:
		b.isHolder.Store(false)
		// At a start, only the first in the order need not wait until it
		// could have heard of those before it.
		if view.Members[0] != b.self && b.clock.Steady()-b.began < timetable.Steady(b.set.Load().Tuning.SilentAfter) {
			return
		}
		go b.claim(view, membership.Term{Number: term.Number + 1, Holder: b.self})
	}
}

// claim asks a majority to fence off every lower term and to grant the duty.
func (b *box) claim(view membership.View, term membership.Term) {
	if !b.isClaiming.CompareAndSwap(false, true) {
		return
	}
	defer b.isClaiming.Store(false)
	round := b.lease.start(term.Number, view, b.clock.Steady())
	if !b.askLease(view, messages.KindClaim, messages.Claim{Epoch: view.Epoch, Term: term}, round) {
		b.clock.Sleep(claimPause)
		return
	}
	b.myTerm.Store(term.Number)
	b.note("info", "the duty is here", "term", term.Number)
	// The duty is taken up, and its new term told, now and not a heartbeat later.
	b.roll.Offer(b.beat)
}

// onBeat hears a member, and takes from it what is newer: the view, the term,
// and, where its item set is ahead, the changes.
func (b *box) onBeat(in membership.Beat, _ func(messages.Done)) {
	b.roll.Offer(func() { b.watch.Hear(in) })
	b.told.Store(in.From, feed.Reading{Term: in.FleetTerm, Count: in.FleetCount})
	isBehind := false
	b.keeper.put(func(t *tables) (out []record) {
		isBehind = registry.Index(in.Index) > t.registry.Index
		if in.View.Epoch > t.view.Epoch {
			view := in.View
			r := record{View: &view}
			t.apply(r)
			out = append(out, r)
			b.hub.Publish(feed.News{View: &view})
		}
		if in.Term.Number > t.term.Number {
			term := in.Term
			t.term = term
			out = append(out, record{Term: &term})
		}
		return out
	}, func() {
		if isBehind {
			go b.registrar.catchUpWith(in.From)
		}
	})
}

// tendView gives a member that is lost up for a node that waits, or takes a
// node in while there are fewer members than the tolerance asks for.
func (b *box) tendView(view membership.View) {
	set, now := b.set.Load(), b.clock.Steady()
	waiting := ""
	for address, at := range b.newcomers {
		isWaiting := time.Duration(now-at) < set.Tuning.SilentAfter.Std()
		if isWaiting && !view.Has(address) && (waiting == "" || address < waiting) {
			waiting = address
		}
	}
	if waiting == "" {
		return
	}
	lost, longest := "", set.Tuning.ReplaceAfter.Std()
	for _, member := range view.Members {
		silence := b.watch.Silence(member, b.began)
		if member != b.self && silence > longest {
			lost, longest = member, silence
		}
	}
	if lost == "" && len(view.Members) >= 2*set.Platform.FaultTolerance.Machines+1 {
		return
	}
	go b.changeView(view, view.Swap(lost, waiting))
}

func (b *box) changeView(view, wanted membership.View) {
	if !b.isProposing.CompareAndSwap(false, true) {
		return
	}
	defer b.isProposing.Store(false)
	number := membership.Number{Round: b.round.Add(1), Node: b.proposer}
	ask := func(motion membership.Motion) []membership.Response { return b.askMotion(view, motion) }
	decided, highest, isDecided := membership.Propose(view, wanted, number, ask)
	b.round.Store(max(b.round.Load(), highest.Round))
	if isDecided {
		b.note("warn", "the view changed", "epoch", decided.Epoch, "members", decided.Members)
		b.adopt(decided)
	}
}

// askMotion asks all members, and returns once a majority has agreed or one shows
// that the motion is lost. Agreement counts within a vote span only, as a member that
// lost its disk waits twice that before it takes part again; what stands against the
// motion is told however late it came.
func (b *box) askMotion(view membership.View, motion membership.Motion) (out []membership.Response) {
	count, began, span := 0, b.clock.Steady(), b.set.Load().Tuning.VoteSpan.Std()
	askAll(b, view.Members, messages.KindMotion, motion, span, func(_ string, response membership.Response) bool {
		out = append(out, response)
		if response.OK {
			count++
		}
		return count >= view.Majority() || motion.Number.Below(response.Promised)
	})
	if time.Duration(b.clock.Steady()-began) <= span {
		return out
	}
	for i := range out {
		out[i].OK = false
	}
	return out
}

func (b *box) onJoin(in messages.Join, _ func(messages.Done)) {
	b.roll.Offer(func() { b.newcomers[in.Address] = b.clock.Steady() })
}
