package control

import (
	"errors"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// forwardTimeout bounds how long another member may take to propose a change before
// this node offers it to the next member, or proposes it itself.
const forwardTimeout = 350 * time.Millisecond

// errUndecided reports a change whose outcome is unknown: it may still be accepted.
var errUndecided = apierror.New(apierror.ControlPlaneUnavailable, "the outcome of the configuration change is unknown")

// maxProposeAttempts is how often a member is asked to propose the same order, each time with
// a newer base.
const maxProposeAttempts = 3

// modify applies a change of configuration items. It returns nil once a majority has
// accepted the change that contains the items, or has confirmed that they are already
// part of the configuration.
func (n *node) modify(items []config.Item, caller orderCaller) error {
	_, err := n.commit(&order{items: items, caller: caller})
	return err
}

// commit does what modify does and also returns the index of the item set that
// contains the items.
func (n *node) commit(o *order) (registry.Index, error) {
	for _, member := range n.proposers() {
		index, err := n.proposeThrough(member, o)
		if member == n.self || !isUnavailable(err) || errors.Is(err, errAbandoned) {
			return index, err
		}
	}
	return 0, errUndecided
}

// proposeThrough has a member propose the order. If the member can't rule out that the
// order was rejected since its base, the order is proposed again with a newer one.
func (n *node) proposeThrough(member string, o *order) (index registry.Index, err error) {
	for range maxProposeAttempts {
		base, hasLeft := n.newBase(o)
		if hasLeft {
			n.log("info", "the caller of an order has left", "items", len(o.items))
			return 0, errAbandoned
		}
		index, err = n.propose(member, o.items, base)
		var stale *registry.StaleError
		if !errors.As(err, &stale) {
			return index, err
		}
		n.log("info", "an order is proposed again", "member", member, "base", base.index, "head", stale.Head)
		o.head = &stale.Head
	}
	return 0, errUndecided
}

// newBase returns the newest base that this node knows for the order, and whether the caller
// has left. It asks for the caller after it has read the index: whoever tells the caller
// later that the order is rejected judges it by this configuration or a newer one.
func (n *node) newBase(o *order) (newest orderBase, hasLeft bool) {
	newest = orderBase{learntAt: n.clock.Wall()}
	if o.head != nil {
		newest.index = *o.head
	} else {
		n.store.read(func(t *tables) { newest.index = max(n.knownIndex.Load(), t.registry.Index) })
	}
	return newest, o.caller.HasLeft()
}

// propose proposes items at this node or forwards them to another member.
func (n *node) propose(member string, items []config.Item, base orderBase) (registry.Index, error) {
	if member == n.self {
		return n.configReplicator.submit(items, &base)
	}
	message := messages.Propose{Items: items, Base: &base.index, BaseTime: base.learntAt.UnixNano()}
	var result messages.OrderResponse
	if n.call(member, messages.KindPropose, message, &result, forwardTimeout) != nil {
		return 0, errUndecided
	}
	index := registry.Index(result.Index)
	n.knownIndex.note(index)
	if result.IsStale {
		return 0, &registry.StaleError{Head: index}
	}
	return index, resultError(result)
}

// isUnavailable reports whether an error leaves the outcome of an order open.
func isUnavailable(err error) bool {
	var known *apierror.Error
	return errors.As(err, &known) && known.Kind == apierror.ControlPlaneUnavailable
}

// resultError converts the result that another node returned into an error.
func resultError(result messages.OrderResponse) error {
	if result.Kind == apierror.None {
		return nil
	}
	return apierror.New(result.Kind, result.Detail)
}

// proposers lists the members that may propose a change, in the order in which they
// are tried. A live leader comes first, as proposals from a single node don't compete
// with each other. Then comes this node if it can vote, otherwise all other members.
func (n *node) proposers() (members []string) {
	view, leader, canVote := membership.View{}, "", false
	n.store.read(func(t *tables) { view, leader, canVote = t.view, t.term.Holder, n.canVote(t, t.view.Epoch) })
	leaderLive := false
	n.runInMemberLoop(func() { leaderLive = n.livenessWatch.IsLive(leader) })
	if leader != n.self && view.Contains(leader) && (leaderLive || !canVote) {
		members = append(members, leader)
	}
	if canVote {
		return append(members, n.self)
	}
	for _, member := range membership.FollowOrder(view.Members, n.self) {
		if member != leader && member != n.self {
			members = append(members, member)
		}
	}
	return members
}
