package control

import (
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const claimRetryDelay = 200 * time.Millisecond

// runInMemberLoop runs f in the membership loop and waits until it returns.
func (n *node) runInMemberLoop(f func()) {
	runAndWait(n.memberLoop, f)
}

// runAndWait runs f in the loop and waits until it returns.
func runAndWait(loop *clock.Loop[func()], f func()) {
	done := make(chan struct{})
	loop.Put(func() { f(); close(done) })
	<-done
}

// runAll runs the functions of a batch in order.
func runAll(batch []func()) {
	for _, f := range batch {
		f()
	}
}

// heartbeat runs periodically in the membership loop. It sends a heartbeat to the other
// members, then checks whether leadership or the view has to change. Slow
// work runs in other goroutines.
func (n *node) heartbeat() {
	var view membership.View
	var term membership.Term
	var index registry.Index
	var trusted bool
	directlySeen := n.livenessWatch.DirectlySeen()
	var heldFleet feed.FleetVersion
	eligible := n.eligible.Load()
	candidate := ""
	n.store.enqueue(func(t *tables) []record {
		view, term, index, trusted = t.view, t.term, t.registry.Index, t.trusted
		heldFleet = t.fleet.Version()
		return nil
	}, func() {
		eligible = eligible && trusted && n.isReadyToLead(heldFleet)
		message := membership.Heartbeat{From: n.self, View: view, Term: term, Index: uint64(index), Seen: directlySeen, Eligible: eligible, Rebuilding: !trusted}
		fleet := n.fleet()
		message.FleetTerm, message.FleetCount = fleet.Term, fleet.Count
		for _, member := range view.HeartbeatTargets(n.self) {
			n.connection(member).Send(messages.KindHeartbeat, message, nil)
		}
		n.memberLoop.Offer(func() {
			n.livenessWatch.Follow(view)
			if !view.Contains(n.self) || !trusted {
				n.stepDown()
				return
			}
			candidate = n.livenessWatch.Candidate(view, n.self, eligible)
			n.updateLeadership(view, term, candidate)
			if n.isLeader.Load() {
				n.maintainView(view)
			}
		})
	})
}

// updateLeadership renews the lease, steps down or claims leadership, depending on which
// member is the candidate: the first live and eligible one in the agreed order.
func (n *node) updateLeadership(view membership.View, term membership.Term, candidate string) {
	switch {
	case term.Holder == n.self && term.Number == n.ownTerm.Load() && candidate == n.self:
		n.isLeader.Store(true)
		go n.renewLease(view, term)
	case candidate != n.self:
		n.stepDown()
	default:
		n.isLeader.Store(false)
		// After a start, a node waits until it could have received heartbeats of
		// the members before it in the order. The first member has none to wait for.
		if view.Members[0] != n.self && n.clock.Monotonic()-n.startedAt < clock.Instant(n.settings.Load().Tuning.SilenceTimeout) {
			return
		}
		go n.claimLeadership(view, membership.Term{Number: term.Number + 1, Holder: n.self})
	}
}

// claimLeadership asks a majority to grant the leader lease and to reject all lower terms.
func (n *node) claimLeadership(view membership.View, term membership.Term) {
	if !n.claiming.CompareAndSwap(false, true) {
		return
	}
	defer n.claiming.Store(false)
	round := n.lease.startRound(term.Number, view, n.clock.Monotonic())
	if !n.requestLease(view, messages.KindClaim, messages.Claim{Epoch: view.Epoch, Term: term}, round) {
		n.clock.Sleep(claimRetryDelay)
		return
	}
	n.ownTerm.Store(term.Number)
	n.log("info", "this node is now the leader", "term", term.Number)
	// Take over and announce the new term now rather than at the next heartbeat.
	n.memberLoop.Offer(n.heartbeat)
}

// onHeartbeat records a heartbeat of a member and adopts its view and term if they are
// newer. If the member's configuration is ahead, this node fetches the changes from it.
func (n *node) onHeartbeat(heartbeat membership.Heartbeat, _ func(messages.Ack)) {
	n.memberLoop.Offer(func() { n.livenessWatch.Observe(heartbeat) })
	n.memberFleetVersions.Store(heartbeat.From, feed.FleetVersion{Term: heartbeat.FleetTerm, Count: heartbeat.FleetCount})
	behind := false
	n.store.enqueue(func(t *tables) (out []record) {
		behind = registry.Index(heartbeat.Index) > t.registry.Index
		if heartbeat.View.Epoch > t.view.Epoch {
			view := heartbeat.View
			r := record{View: &view}
			t.apply(r)
			out = append(out, r)
			n.hub.Publish(feed.Update{View: &view})
		}
		if heartbeat.Term.Number > t.term.Number {
			term := heartbeat.Term
			t.term = term
			out = append(out, record{Term: &term})
		}
		return out
	}, func() {
		if behind {
			go n.configReplicator.catchUpFrom(heartbeat.From)
		}
	})
}

// maintainView replaces a member that has been silent for longer than ReplaceAfter with a
// node that asks to join, or adds the node while there are fewer members than the fault
// tolerance requires. Without such a node, or while a member is being rebuilt, the view
// stays.
func (n *node) maintainView(view membership.View) {
	current := n.settings.Load()
	lost, mayChange := n.livenessWatch.Replaceable(view, n.self, current.Tuning.ReplaceAfter.Std())
	isFull := len(view.Members) >= 2*int(current.Platform.FaultTolerance.Machines)+1
	newcomer := n.joiningNode(view)
	if !mayChange || newcomer == "" || lost == "" && isFull {
		return
	}
	go n.changeView(view, view.Replace(lost, newcomer))
}

// joiningNode returns the first node outside of the view, by address, that recently asked to
// join it.
func (n *node) joiningNode(view membership.View) (newcomer string) {
	now := n.clock.Monotonic()
	for address, askedAt := range n.joining {
		recent := time.Duration(now-askedAt) < n.settings.Load().Tuning.SilenceTimeout.Std()
		if recent && !view.Contains(address) && (newcomer == "" || address < newcomer) {
			newcomer = address
		}
	}
	return newcomer
}

// changeView proposes a new view to the members of the present one, one proposal at a time.
func (n *node) changeView(view, proposed membership.View) {
	if !n.proposingView.CompareAndSwap(false, true) {
		return
	}
	defer n.proposingView.Store(false)
	number := membership.Ballot{Round: n.viewRound.Add(1), Node: n.proposerID}
	requestAll := func(proposal membership.Proposal) []membership.Response { return n.requestViewChange(view, proposal) }
	decided, highest, ok := membership.Propose(view, proposed, number, requestAll)
	n.viewRound.Store(max(n.viewRound.Load(), highest.Round))
	if ok {
		n.log("warn", "view changed", "epoch", decided.Epoch, "removed", view.Without(decided), "added", decided.Without(view), "members", decided.Members)
		n.adoptView(decided)
	}
}

// requestViewChange sends a proposal for the next view to all members.
func (n *node) requestViewChange(view membership.View, proposal membership.Proposal) []membership.Response {
	return callRound(n, view, messages.KindProposal, proposal, n.clock.Monotonic(),
		func(response *membership.Response) *bool { return &response.OK },
		func(response membership.Response) bool { return proposal.Ballot.Less(response.Promised) })
}

// onJoin records a node that asks to become a member.
func (n *node) onJoin(in messages.Join, _ func(messages.Ack)) {
	n.memberLoop.Offer(func() { n.joining[in.Address] = n.clock.Monotonic() })
}
