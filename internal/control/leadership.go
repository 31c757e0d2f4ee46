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
	heartbeatTargetCount = 2
	claimRetryDelay      = 200 * time.Millisecond
)

// inMemberLoop runs act in the membership loop and waits for it.
func (n *node) runInMemberLoop(f func()) {
	runAndWait(n.memberLoop, f)
}

// await runs act in a loop of acts and waits for it.
func runAndWait(loop *timetable.Loop[func()], f func()) {
	done := make(chan struct{})
	loop.Put(func() { f(); close(done) })
	<-done
}

// actAll is how an owner works through a batch of acts.
func runAll(batch []func()) {
	for _, f := range batch {
		f()
	}
}

// beat is the membership loop's timer: tell the watchers, then see whether a duty or the
// view has to move. What takes time is done beside the loop.
func (n *node) heartbeat() {
	var view membership.View
	var term membership.Term
	var index registry.Index
	var trusted bool
	seen := n.watch.Direct()
	var heldFleet feed.Reading
	eligible := n.isFit.Load()
	candidate := ""
	n.store.put(func(t *tables) []record {
		view, term, index, trusted = t.view, t.term, t.registry.Index, t.isTrusted
		heldFleet = t.fleet.Reading()
		return nil
	}, func() {
		eligible = eligible && trusted && n.isReadyToLead(heldFleet)
		beat := membership.Beat{From: n.self, View: view, Term: term, Index: uint64(index), Seen: seen, IsFit: eligible}
		fleet := n.fleet()
		beat.FleetTerm, beat.FleetCount = fleet.Term, fleet.Count
		for _, watcher := range membership.Watchers(view.Members, n.self, heartbeatTargetCount) {
			n.line(watcher).Send(messages.KindBeat, beat, nil)
		}
		n.memberLoop.Offer(func() {
			if !view.Has(n.self) || !trusted {
				n.stepDown()
				return
			}
			candidate = n.watch.First(view, n.self, eligible)
			n.updateLeadership(view, term, candidate)
			if n.isHolder.Load() {
				n.maintainView(view)
			}
		})
	})
}

func (n *node) updateLeadership(view membership.View, term membership.Term, candidate string) {
	switch {
	case term.Holder == n.self && term.Number == n.myTerm.Load() && candidate == n.self:
		n.isHolder.Store(true)
		go n.renewLease(view, term)
	case candidate != n.self:
		n.stepDown()
	default:
		n.isHolder.Store(false)
		// At a start, only the first in the order need not wait until it
		// could have heard of those before it.
		if view.Members[0] != n.self && n.clock.Steady()-n.began < timetable.Steady(n.set.Load().Tuning.SilentAfter) {
			return
		}
		go n.claimLeadership(view, membership.Term{Number: term.Number + 1, Holder: n.self})
	}
}

// claim asks a majority to fence off every lower term and to grant the duty.
func (n *node) claimLeadership(view membership.View, term membership.Term) {
	if !n.isClaiming.CompareAndSwap(false, true) {
		return
	}
	defer n.isClaiming.Store(false)
	round := n.lease.startRound(term.Number, view, n.clock.Steady())
	if !n.requestLease(view, messages.KindClaim, messages.Claim{Epoch: view.Epoch, Term: term}, round) {
		n.clock.Sleep(claimRetryDelay)
		return
	}
	n.myTerm.Store(term.Number)
	n.note("info", "the duty is here", "term", term.Number)
	// The duty is taken up, and its new term told, now and not a heartbeat later.
	n.memberLoop.Offer(n.heartbeat)
}

// onBeat hears a member, and takes from it what is newer: the view, the term,
// and, where its item set is ahead, the changes.
func (n *node) onHeartbeat(beat membership.Beat, _ func(messages.Done)) {
	n.memberLoop.Offer(func() { n.watch.Hear(beat) })
	n.told.Store(beat.From, feed.Reading{Term: beat.FleetTerm, Count: beat.FleetCount})
	behind := false
	n.store.put(func(t *tables) (out []record) {
		behind = registry.Index(beat.Index) > t.registry.Index
		if beat.View.Epoch > t.view.Epoch {
			view := beat.View
			r := record{View: &view}
			t.apply(r)
			out = append(out, r)
			n.hub.Publish(feed.News{View: &view})
		}
		if beat.Term.Number > t.term.Number {
			term := beat.Term
			t.term = term
			out = append(out, record{Term: &term})
		}
		return out
	}, func() {
		if behind {
			go n.registrar.catchUpWith(beat.From)
		}
	})
}

// tendView gives a member that is lost up for a node that waits, or takes a
// node in while there are fewer members than the tolerance asks for.
func (n *node) maintainView(view membership.View) {
	current, now := n.set.Load(), n.clock.Steady()
	replacement := ""
	for address, lastSeen := range n.newcomers {
		recent := time.Duration(now-lastSeen) < current.Tuning.SilentAfter.Std()
		if recent && !view.Has(address) && (replacement == "" || address < replacement) {
			replacement = address
		}
	}
	if replacement == "" {
		return
	}
	lost, longestSilence := "", current.Tuning.ReplaceAfter.Std()
	for _, member := range view.Members {
		silence := n.watch.Silence(member, n.began)
		if member != n.self && silence > longestSilence {
			lost, longestSilence = member, silence
		}
	}
	if lost == "" && len(view.Members) >= 2*current.Platform.FaultTolerance.Machines+1 {
		return
	}
	go n.changeView(view, view.Swap(lost, replacement))
}

func (n *node) changeView(view, proposed membership.View) {
	if !n.isProposing.CompareAndSwap(false, true) {
		return
	}
	defer n.isProposing.Store(false)
	number := membership.Number{Round: n.round.Add(1), Node: n.proposer}
	ask := func(motion membership.Motion) []membership.Response { return n.requestViewChange(view, motion) }
	decided, highest, ok := membership.Propose(view, proposed, number, ask)
	n.round.Store(max(n.round.Load(), highest.Round))
	if ok {
		n.note("warn", "the view changed", "epoch", decided.Epoch, "members", decided.Members)
		n.adopt(decided)
	}
}

// askMotion asks all members to agree on the view that follows.
func (n *node) requestViewChange(view membership.View, motion membership.Motion) []membership.Response {
	return askRound(n, view, messages.KindMotion, motion, n.clock.Steady(),
		func(response *membership.Response) *bool { return &response.OK },
		func(response membership.Response) bool { return motion.Number.Below(response.Promised) })
}

func (n *node) onJoin(in messages.Join, _ func(messages.Done)) {
	n.memberLoop.Offer(func() { n.newcomers[in.Address] = n.clock.Steady() })
}
