package control

import (
	"errors"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

// roundTransport sends the messages of one round to the members of a view. The time
// limit for promises runs from the start of the round, that for acceptances from
// when the Accept is sent.
type roundTransport struct {
	node      *node
	view      membership.View
	startedAt clock.Instant
}

// Prepare asks all members for a promise.
func (t *roundTransport) Prepare(prepare registry.Prepare) []registry.Promise {
	return callRound(t.node, t.view, messages.KindPrepare, prepare, t.startedAt,
		func(promise *registry.Promise) *bool { return &promise.OK },
		func(promise registry.Promise) bool { return promise.Preempted(prepare) })
}

// Accept asks all members to accept a change, unless the promises have expired.
func (t *roundTransport) Accept(accept registry.Accept) []registry.Acceptance {
	if t.node.voteExpired(t.startedAt) {
		return nil
	}
	return callRound(t.node, t.view, messages.KindAccept, accept, t.node.clock.Monotonic(),
		func(acceptance *registry.Acceptance) *bool { return &acceptance.OK },
		func(acceptance registry.Acceptance) bool { return acceptance.Preempted(accept) })
}

func (n *node) voteTimeout() time.Duration { return n.settings.Load().Tuning.VoteTimeout.Std() }

// voteExpired reports whether votes requested at that time no longer count.
func (n *node) voteExpired(startedAt clock.Instant) bool {
	return time.Duration(n.clock.Monotonic()-startedAt) > n.voteTimeout()
}

// callRound calls all members of a view and returns once a majority has agreed or an
// response shows that the round is lost. okField returns a pointer to the field that
// holds a response's agreement. Agreement counts only within the vote timeout from
// startedAt, as a member that lost its disk waits twice that long before it votes
// again. Responses that arrive later are returned without their agreement, since they
// still show why the round can't succeed.
func callRound[T any](n *node, view membership.View, kind rpc.Kind, request any, startedAt clock.Instant, okField func(*T) *bool, lost func(T) bool) (responses []T) {
	count := 0
	callAll(n, view.Members, kind, request, n.voteTimeout(), func(_ string, response T) bool {
		responses = append(responses, response)
		if *okField(&response) {
			count++
		}
		return count >= view.Majority() || lost(response)
	})
	if !n.voteExpired(startedAt) {
		return responses
	}
	for i := range responses {
		*okField(&responses[i]) = false
	}
	return responses
}

func (n *node) onPrepare(in registry.Prepare, reply func(registry.Promise)) {
	var promise registry.Promise
	n.store.enqueue(func(t *tables) []record {
		if !n.canVote(t, in.Epoch) {
			// This node doesn't vote in the epoch, and the proposer must not rely on its index.
			promise = registry.Promise{View: newerView(t, in.Epoch)}
			return nil
		}
		var changed bool
		promise, changed = t.registry.Promise(in)
		return durableRecord(t, changed)
	}, func() {
		if promise.OK || promise.View == nil && promise.Index > 0 {
			promise.Member = n.self
		}
		reply(promise)
	})
}

func (n *node) onAccept(in registry.Accept, reply func(registry.Acceptance)) {
	var acceptance registry.Acceptance
	n.store.enqueue(func(t *tables) []record {
		if !n.canVote(t, in.Epoch) {
			return nil
		}
		var changed bool
		acceptance, changed = t.registry.Accept(n.self, in)
		return durableRecord(t, changed)
	}, func() { reply(acceptance) })
}

// onPropose proposes a change on behalf of another node.
func (n *node) onPropose(in messages.Propose, reply func(messages.OrderResponse)) {
	go func() {
		base := baseOf(in)
		if err := n.checkBase(in.Items, base); err != nil {
			reply(orderResponse(0, err))
			return
		}
		index, err := n.configReplicator.submit(in.Items, base)
		reply(orderResponse(index, err))
	}()
}

// baseOf returns the base of a forwarded change, or nil if an older build sent it.
func baseOf(in messages.Propose) *orderBase {
	if in.Base == nil {
		return nil
	}
	return &orderBase{index: *in.Base, learntAt: time.Unix(0, in.BaseTime)}
}

// orderResponse returns the response to a forwarded change.
func orderResponse(index registry.Index, err error) messages.OrderResponse {
	var stale *registry.StaleError
	if errors.As(err, &stale) {
		return messages.OrderResponse{Kind: apierror.ControlPlaneUnavailable, Detail: stale.Error(), IsStale: true, Index: uint64(stale.Head)}
	}
	out := messages.OrderResponse{Index: uint64(index)}
	var known *apierror.Error
	if errors.As(err, &known) {
		out.Kind, out.Detail = known.Kind, known.Detail
	}
	return out
}

// onOffer adds to the configuration the items that only an agent still holds. It
// ignores offers that arrive while another is being handled.
func (n *node) onOffer(in messages.OfferItems, reply func(messages.Ack)) {
	if !n.handlingOffer.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.handlingOffer.Store(false)
		configuration, err := n.readConfig()
		if err != nil {
			return
		}
		missing := configuration.Newer(in.Items)
		if len(missing) > 0 {
			err = n.modify(missing, internalCaller{})
			n.log("warn", "proposed items that only an agent held", "items", len(missing), "error", err)
		}
		reply(messages.Ack{OK: err == nil})
	}()
}

func durableRecord(t *tables, changed bool) []record {
	if !changed {
		return nil
	}
	durable := t.registry.DurableState()
	return []record{{Durable: &durable}}
}

// newerView returns the node's view if it is newer than the caller's epoch, else nil.
func newerView(t *tables, epoch membership.Epoch) *membership.View {
	if t.view.Epoch <= epoch {
		return nil
	}
	view := t.view
	return &view
}
