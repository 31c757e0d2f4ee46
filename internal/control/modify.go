package control

import (
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// forwardSpan bounds how long another member may take over an order before this
// node proposes it itself.
const forwardTimeout = 350 * time.Millisecond

// errNoDecision says that an order may or may not come to hold.
var errUndecided = apierror.New(apierror.Gone, "keeping the configuration")

// modify takes an operator's call: it is acknowledged once a majority has
// accepted the change that holds it, or has shown that it holds already.
func (n *node) modify(items []config.Item) error {
	_, err := n.commit(items)
	return err
}

// commit is modify; it also tells the index of the set in which the order holds.
func (n *node) commit(items []config.Item) (registry.Index, error) {
	for _, member := range n.proposers() {
		if member == n.self {
			return n.configReplicator.submit(items)
		}
		var result messages.Ordered
		if n.call(member, messages.KindPropose, messages.Propose{Items: items}, &result, forwardTimeout) != nil {
			continue
		}
		if result.Kind != apierror.Gone {
			return registry.Index(result.Index), resultError(result)
		}
	}
	return 0, errUndecided
}

// orderError is what stands against an order, by the answer of the node that decided.
func resultError(result messages.Ordered) error {
	if result.Kind == apierror.None {
		return nil
	}
	return apierror.New(result.Kind, result.Detail)
}

// proposers are the members to offer an order to, in turn: the live holder of the
// duty first, as proposals from one node don't compete; then this node, if it is
// a member, and else the others.
func (n *node) proposers() (members []string) {
	view, leader, canVote := membership.View{}, "", false
	n.store.read(func(t *tables) { view, leader, canVote = t.view, t.term.Holder, n.canVote(t, t.view.Epoch) })
	leaderLive := false
	n.inMemberLoop(func() { leaderLive = n.livenessWatch.IsLive(leader) })
	if leader != n.self && view.Has(leader) && (leaderLive || !canVote) {
		members = append(members, leader)
	}
	if canVote {
		return append(members, n.self)
	}
	for _, member := range membership.Followed(view.Members, n.self) {
		if member != leader && member != n.self {
			members = append(members, member)
		}
	}
	return members
}
