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
const forwardSpan = 350 * time.Millisecond

// errNoDecision says that an order may or may not come to hold.
var errNoDecision = apierror.New(apierror.Gone, "keeping the configuration")

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
			return n.registrar.submit(items)
		}
		var done messages.Ordered
		if n.ask(member, messages.KindPropose, messages.Propose{Items: items}, &done, forwardSpan) != nil {
			continue
		}
		if done.Kind != apierror.Gone {
			return registry.Index(done.Index), orderError(done)
		}
	}
	return 0, errNoDecision
}

// orderError is what stands against an order, by the answer of the node that decided.
func orderError(done messages.Ordered) error {
	if done.Kind == apierror.None {
		return nil
	}
	return apierror.New(done.Kind, done.Detail)
}

// proposers are the members to offer an order to, in turn: the live holder of the
// duty first, as proposals from one node don't compete; then this node, if it is
// a member, and else the others.
func (n *node) proposers() (out []string) {
	view, holder, isServing := membership.View{}, "", false
	n.store.read(func(t *tables) { view, holder, isServing = t.view, t.term.Holder, n.isServing(t, t.view.Epoch) })
	isLive := false
	n.runInMemberLoop(func() { isLive = n.watch.IsLive(holder) })
	if holder != n.self && view.Has(holder) && (isLive || !isServing) {
		out = append(out, holder)
	}
	if isServing {
		return append(out, n.self)
	}
	for _, member := range membership.Followed(view.Members, n.self) {
		if member != holder && member != n.self {
			out = append(out, member)
		}
	}
	return out
}
