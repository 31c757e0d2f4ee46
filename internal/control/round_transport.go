package control

import (
	"errors"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

// peers carries the messages of one round; promises count from when it began,
// acceptances from when the Accept was sent.
type roundTransport struct {
	node      *node
	view      membership.View
	startedAt timetable.Steady
}

// Prepare asks all members for their promise.
func (t *roundTransport) Prepare(prepare registry.Prepare) []registry.Promise {
	return callRound(t.node, t.view, messages.KindPrepare, prepare, t.startedAt,
		func(promise *registry.Promise) *bool { return &promise.OK },
		func(promise registry.Promise) bool { return promise.IsLost(prepare) })
}

// Accept asks all members for their acceptance, unless the promises are too old by now.
func (t *roundTransport) Accept(accept registry.Accept) []registry.Acceptance {
	if t.node.voteExpired(t.startedAt) {
		return nil
	}
	return callRound(t.node, t.view, messages.KindAccept, accept, t.node.clock.Steady(),
		func(acceptance *registry.Acceptance) *bool { return &acceptance.OK },
		func(acceptance registry.Acceptance) bool { return acceptance.IsLost(accept) })
}

func (n *node) voteTimeout() time.Duration { return n.settings.Load().Tuning.VoteSpan.Std() }

// isVoteOver tells whether what was asked for at that time counts no more.
func (n *node) voteExpired(startedAt timetable.Steady) bool {
	return time.Duration(n.clock.Steady()-startedAt) > n.voteTimeout()
}

// askRound asks all members of a view, and returns once a majority has agreed or one
// shows that the round is lost. isOK points at an answer's agreement: it counts within
// a vote span of began only, as a member that lost its disk waits twice that before it
// takes part again. What came later still tells what stands against the round.
func callRound[T any](n *node, view membership.View, kind rpc.Kind, request any, startedAt timetable.Steady, okField func(*T) *bool, lost func(T) bool) (answers []T) {
	count := 0
	callAll(n, view.Members, kind, request, n.voteTimeout(), func(_ string, answer T) bool {
		answers = append(answers, answer)
		if *okField(&answer) {
			count++
		}
		return count >= view.Majority() || lost(answer)
	})
	if !n.voteExpired(startedAt) {
		return answers
	}
	for i := range answers {
		*okField(&answers[i]) = false
	}
	return answers
}

func (n *node) onPrepare(in registry.Prepare, reply func(registry.Promise)) {
	var promise registry.Promise
	n.store.enqueue(func(t *tables) []record {
		if !n.canVote(t, in.Epoch) {
			// It has no part in the round, and no index that the proposer may go by.
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

// onPropose has this node propose another's order.
func (n *node) onPropose(in messages.Propose, reply func(messages.Ordered)) {
	go func() {
		index, err := n.configReplicator.submit(in.Items)
		out := messages.Ordered{Index: uint64(index)}
		var known *apierror.Error
		if errors.As(err, &known) {
			out.Kind, out.Detail = known.Kind, known.Detail
		}
		reply(out)
	}()
}

// onOffer takes items that an agent holds and the configuration lacks.
func (n *node) onOffer(in messages.Offer, reply func(messages.Done)) {
	if !n.takingOffer.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.takingOffer.Store(false)
		book, err := n.read()
		if err != nil {
			return
		}
		missing := book.Newer(in.Items)
		if len(missing) > 0 {
			err = n.modify(missing)
			n.log("warn", "items that only an agent held", "items", len(missing), "error", err)
		}
		reply(messages.Done{OK: err == nil})
	}()
}

func durableRecord(t *tables, changed bool) []record {
	if !changed {
		return nil
	}
	durable := t.registry.Durable()
	return []record{{Durable: &durable}}
}

// newerView is the node's view, where it is newer than the asker's.
func newerView(t *tables, epoch membership.Epoch) *membership.View {
	if t.view.Epoch <= epoch {
		return nil
	}
	view := t.view
	return &view
}
