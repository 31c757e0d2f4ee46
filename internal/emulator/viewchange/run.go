package viewchange

import (
	"slices"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

// Policy takes guards out of the rule that is explored. The zero policy is the program's.
type Policy struct {
	// Targets is how many ring successors get a node's heartbeats, if not 0.
	Targets int
	// CountsOutsiders counts the silence of a node from before it joined the view.
	CountsOutsiders bool
	// HidesRebuilds lets the view change while a member is being rebuilt.
	HidesRebuilds bool
}

// run is the state of one run.
type run struct {
	policy  Policy
	time    *clock.Manual
	now     Step
	members int
	nodes   []*node
	changes int
}

func newRun(members int, policy Policy, schedule Schedule) *run {
	r := &run{policy: policy, time: &clock.Manual{Now: heartbeatInterval}, members: members}
	var names []string
	for place := range members {
		names = append(names, nameOf(place))
	}
	view := membership.FirstView(names)
	for place := range members + spareNodes {
		n := newNode(place, view, r.time)
		n.isTrusted = place < members
		r.nodes = append(r.nodes, n)
	}
	// The vote is held by the smallest majority, those that are struck before others.
	for _, event := range schedule {
		r.holdVote(event.Member)
	}
	for place := range members {
		r.holdVote(place)
	}
	for range settleSteps {
		r.step(nil)
	}
	r.now = 0
	return r
}

const (
	spareNodes       = 1
	settleSteps Step = 10
)

func (r *run) holdVote(place int) {
	held := 0
	for _, n := range r.nodes {
		if n.holdsVote {
			held++
		}
	}
	if held < r.members/2+1 {
		r.nodes[place].holdsVote = true
	}
}

// step passes one heartbeat interval.
func (r *run) step(schedule Schedule) {
	for _, event := range schedule {
		r.strike(event)
	}
	for _, n := range r.nodes {
		if n.isUp(r.now) {
			n.watch.Follow(r.watchedBy(n))
		}
	}
	for _, n := range r.nodes {
		r.heartbeat(n)
	}
	for _, n := range r.nodes {
		r.rebuild(n)
	}
	if leader := r.leader(); leader != nil {
		r.maintainView(leader)
	}
	r.now++
	r.time.Sleep(heartbeatInterval)
}

func (r *run) strike(event Event) {
	struck := r.nodes[event.Member]
	switch {
	case event.Kind == Removed && event.returned() == r.now:
		successor := newNode(len(r.nodes), membership.View{}, r.time)
		r.nodes = append(r.nodes, successor)
	case event.At != r.now:
	case event.Kind == Removed:
		struck.isGone = true
	case event.Kind == Cut:
		struck.cutUntil = event.returned()
	case event.Kind == Wiped:
		struck.wipe(event.returned())
	}
}

// heartbeat sends what a node knows. A node that gets an older view sends its own back, which
// stands for the calls by which nodes discover the view.
func (r *run) heartbeat(from *node) {
	if !from.isUp(r.now) {
		return
	}
	message := membership.Heartbeat{
		From: from.name, View: from.view, Seen: from.watch.DirectlySeen(), Eligible: from.isTrusted,
		Rebuilding: !from.isTrusted && !r.policy.HidesRebuilds,
	}
	targets := r.targets(from)
	for _, to := range r.nodes {
		if to == from || !from.reaches(to, r.now) {
			continue
		}
		if slices.Contains(targets, to.name) {
			to.adopt(message.View, r.now)
			to.watch.Observe(message)
		}
		from.discover(to.view, r.now)
	}
}

// watchedBy returns the view whose members a node watches.
func (r *run) watchedBy(n *node) membership.View {
	view := n.view
	if r.policy.CountsOutsiders {
		for _, other := range r.nodes {
			if !view.Contains(other.name) {
				view = membership.View{Epoch: view.Epoch, Members: append(slices.Clone(view.Members), other.name)}
			}
		}
	}
	return view
}

func (r *run) targets(from *node) []string {
	if r.policy.Targets > 0 {
		return membership.RingSuccessors(from.view.Members, from.name, r.policy.Targets)
	}
	return from.view.HeartbeatTargets(from.name)
}

// rebuild makes a member trusted once it reaches a read quorum of trusted members.
func (r *run) rebuild(n *node) {
	if n.isTrusted || !n.isUp(r.now) || !n.view.Contains(n.name) || r.now < n.rebuiltAt {
		return
	}
	read, found := 0, 0
	for _, other := range r.trusted(n) {
		if read++; other.holdsVote {
			found++
		}
	}
	if read < n.view.ReadQuorum() {
		return
	}
	n.isTrusted = true
	// It may have read any read quorum of them.
	n.holdsVote = n.holdsVote || found > read-n.view.ReadQuorum()
}

// trusted returns the trusted members of a node's view that it reaches.
func (r *run) trusted(n *node) (reached []*node) {
	for _, other := range r.nodes {
		if n.view.Contains(other.name) && other.isTrusted && other.view.Epoch == n.view.Epoch && n.reaches(other, r.now) {
			reached = append(reached, other)
		}
	}
	return reached
}

// leader returns the first trusted member, in the order of the view, that reaches a majority.
func (r *run) leader() *node {
	var found *node
	for _, n := range r.nodes {
		if !n.isTrusted || !n.isUp(r.now) || !n.view.Contains(n.name) || len(r.trusted(n)) < n.view.Majority() {
			continue
		}
		if found == nil || slices.Index(n.view.Members, n.name) < slices.Index(n.view.Members, found.name) {
			found = n
		}
	}
	return found
}

// maintainView is the leader's rule. The reached members of the view adopt the change at once,
// the newcomer once it finds it.
func (r *run) maintainView(leader *node) {
	view := leader.view
	lost, mayChange := leader.watch.Replaceable(view, leader.name, replaceAfter)
	if !mayChange || lost == "" {
		return
	}
	newcomer := ""
	for _, n := range r.nodes {
		if !view.Contains(n.name) && n.reaches(leader, r.now) && newcomer == "" {
			newcomer = n.name
		}
	}
	if newcomer == "" {
		return
	}
	next := view.Replace(lost, newcomer)
	for _, n := range r.nodes {
		if view.Contains(n.name) && n.reaches(leader, r.now) {
			n.adopt(next, r.now)
		}
	}
	r.changes++
}
