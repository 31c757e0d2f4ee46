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

// inMemberLoop runs act in the membership loop and waits for it.
func (n *node) inMemberLoop(act func()) {
	await(n.memberLoop, act)
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

// beat is the membership loop's timer: tell the watchers, then see whether a duty or the
// view has to move. What takes time is done beside the loop.
func (n *node) beat() {
	var view membership.View
	var term membership.Term
	var index registry.Index
	var isTrusted bool
	seen := n.livenessWatch.Direct()
	var held feed.Reading
	isFit := n.eligible.Load()
	first := ""
	n.store.enqueue(func(t *tables) []record {
		view, term, index, isTrusted = t.view, t.term, t.registry.Index, t.trusted
		held = t.fleet.Reading()
		return nil
	}, func() {
		isFit = isFit && isTrusted && n.isReadyForDuty(held)
		mine := membership.Beat{From: n.self, View: view, Term: term, Index: uint64(index), Seen: seen, IsFit: isFit}
		fleet := n.fleet()
		mine.FleetTerm, mine.FleetCount = fleet.Term, fleet.Count
		for _, watcher := range membership.Watchers(view.Members, n.self, watcherCount) {
			n.connection(watcher).Send(messages.KindBeat, mine, nil)
		}
		n.memberLoop.Offer(func() {
			if !view.Has(n.self) || !isTrusted {
				n.stepDown()
				return
			}
			first = n.livenessWatch.First(view, n.self, isFit)
			n.takeDuty(view, term, first)
			if n.isLeader.Load() {
				n.tendView(view)
			}
		})
	})
}

func (n *node) takeDuty(view membership.View, term membership.Term, first string) {
	switch {
	case term.Holder == n.self && term.Number == n.ownTerm.Load() && first == n.self:
		n.isLeader.Store(true)
		go n.renew(view, term)
	case first != n.self:
		n.stepDown()
	default:
		n.isLeader.Store(false)
		// At a start, only the first in the order need not wait until it
		// could have heard of those before it.
		if view.Members[0] != n.self && n.clock.Steady()-n.startedAt < timetable.Steady(n.settings.Load().Tuning.SilentAfter) {
			return
		}
		go n.claim(view, membership.Term{Number: term.Number + 1, Holder: n.self})
	}
}

// claim asks a majority to fence off every lower term and to grant the duty.
func (n *node) claim(view membership.View, term membership.Term) {
	if !n.claiming.CompareAndSwap(false, true) {
		return
	}
	defer n.claiming.Store(false)
	round := n.lease.start(term.Number, view, n.clock.Steady())
	if !n.askLease(view, messages.KindClaim, messages.Claim{Epoch: view.Epoch, Term: term}, round) {
		n.clock.Sleep(claimPause)
		return
	}
	n.ownTerm.Store(term.Number)
	n.log("info", "the duty is here", "term", term.Number)
	// The duty is taken up, and its new term told, now and not a heartbeat later.
	n.memberLoop.Offer(n.beat)
}

// onBeat hears a member, and takes from it what is newer: the view, the term,
// and, where its item set is ahead, the changes.
func (n *node) onBeat(in membership.Beat, _ func(messages.Done)) {
	n.memberLoop.Offer(func() { n.livenessWatch.Hear(in) })
	n.memberReadings.Store(in.From, feed.Reading{Term: in.FleetTerm, Count: in.FleetCount})
	isBehind := false
	n.store.enqueue(func(t *tables) (out []record) {
		isBehind = registry.Index(in.Index) > t.registry.Index
		if in.View.Epoch > t.view.Epoch {
			view := in.View
			r := record{View: &view}
			t.apply(r)
			out = append(out, r)
			n.hub.Publish(feed.News{View: &view})
		}
		if in.Term.Number > t.term.Number {
			term := in.Term
			t.term = term
			out = append(out, record{Term: &term})
		}
		return out
	}, func() {
		if isBehind {
			go n.configReplicator.catchUpFrom(in.From)
		}
	})
}

// tendView gives a member that is lost up for a node that waits, or takes a
// node in while there are fewer members than the tolerance asks for.
func (n *node) tendView(view membership.View) {
	set, now := n.settings.Load(), n.clock.Steady()
	waiting := ""
	for address, at := range n.joining {
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
		silence := n.livenessWatch.Silence(member, n.startedAt)
		if member != n.self && silence > longest {
			lost, longest = member, silence
		}
	}
	if lost == "" && len(view.Members) >= 2*set.Platform.FaultTolerance.Machines+1 {
		return
	}
	go n.changeView(view, view.Swap(lost, waiting))
}

func (n *node) changeView(view, wanted membership.View) {
	if !n.proposingView.CompareAndSwap(false, true) {
		return
	}
	defer n.proposingView.Store(false)
	number := membership.Number{Round: n.viewRound.Add(1), Node: n.proposerID}
	ask := func(motion membership.Motion) []membership.Response { return n.askMotion(view, motion) }
	decided, highest, isDecided := membership.Propose(view, wanted, number, ask)
	n.viewRound.Store(max(n.viewRound.Load(), highest.Round))
	if isDecided {
		n.log("warn", "the view changed", "epoch", decided.Epoch, "members", decided.Members)
		n.adoptView(decided)
	}
}

// askMotion asks all members to agree on the view that follows.
func (n *node) askMotion(view membership.View, motion membership.Motion) []membership.Response {
	return callRound(n, view, messages.KindMotion, motion, n.clock.Steady(),
		func(response *membership.Response) *bool { return &response.OK },
		func(response membership.Response) bool { return motion.Number.Below(response.Promised) })
}

func (n *node) onJoin(in messages.Join, _ func(messages.Done)) {
	n.memberLoop.Offer(func() { n.joining[in.Address] = n.clock.Steady() })
}
