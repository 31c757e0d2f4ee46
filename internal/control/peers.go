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
type peers struct {
	node  *node
	view  membership.View
	began timetable.Steady
}

// Prepare asks all members for their promise.
func (p *peers) Prepare(prepare registry.Prepare) []registry.Promise {
	return askRound(p.node, p.view, messages.KindPrepare, prepare, p.began,
		func(promise *registry.Promise) *bool { return &promise.OK },
		func(promise registry.Promise) bool { return promise.IsLost(prepare) })
}

// Accept asks all members for their acceptance, unless the promises are too old by now.
func (p *peers) Accept(accept registry.Accept) []registry.Acceptance {
	if p.node.isVoteOver(p.began) {
		return nil
	}
	return askRound(p.node, p.view, messages.KindAccept, accept, p.node.clock.Steady(),
		func(acceptance *registry.Acceptance) *bool { return &acceptance.OK },
		func(acceptance registry.Acceptance) bool { return acceptance.IsLost(accept) })
}

func (n *node) voteSpan() time.Duration { return n.set.Load().Tuning.VoteSpan.Std() }

// isVoteOver tells whether what was asked for at that time counts no more.
func (n *node) isVoteOver(began timetable.Steady) bool {
	return time.Duration(n.clock.Steady()-began) > n.voteSpan()
}

// askRound asks all members of a view, and returns once a majority has agreed or one
// shows that the round is lost. isOK points at an answer's agreement: it counts within
// a vote span of began only, as a member that lost its disk waits twice that before it
// takes part again. What came later still tells what stands against the round.
func askRound[T any](n *node, view membership.View, kind rpc.Kind, in any, began timetable.Steady, isOK func(*T) *bool, isLost func(T) bool) (out []T) {
	count := 0
	askAll(n, view.Members, kind, in, n.voteSpan(), func(_ string, answer T) bool {
		out = append(out, answer)
		if *isOK(&answer) {
			count++
		}
		return count >= view.Majority() || isLost(answer)
	})
	if !n.isVoteOver(began) {
		return out
	}
	for i := range out {
		*isOK(&out[i]) = false
	}
	return out
}

func (n *node) onPrepare(in registry.Prepare, answer func(registry.Promise)) {
	var promise registry.Promise
	n.store.put(func(t *tables) []record {
		if !n.isServing(t, in.Epoch) {
			// It has no part in the round, and no index that the proposer may go by.
			promise = registry.Promise{View: newerView(t, in.Epoch)}
			return nil
		}
		var isChanged bool
		promise, isChanged = t.registry.Promise(in)
		return durableRecord(t, isChanged)
	}, func() {
		if promise.OK || promise.View == nil && promise.Index > 0 {
			promise.Member = n.self
		}
		answer(promise)
	})
}

func (n *node) onAccept(in registry.Accept, answer func(registry.Acceptance)) {
	var acceptance registry.Acceptance
	n.store.put(func(t *tables) []record {
		if !n.isServing(t, in.Epoch) {
			return nil
		}
		var isChanged bool
		acceptance, isChanged = t.registry.Accept(n.self, in)
		return durableRecord(t, isChanged)
	}, func() { answer(acceptance) })
}

// onPropose has this node propose another's order.
func (n *node) onPropose(in messages.Propose, answer func(messages.Ordered)) {
	go func() {
		index, err := n.registrar.submit(in.Items)
		out := messages.Ordered{Index: uint64(index)}
		var known *apierror.Error
		if errors.As(err, &known) {
			out.Kind, out.Detail = known.Kind, known.Detail
		}
		answer(out)
	}()
}

// onOffer takes items that an agent holds and the configuration lacks.
func (n *node) onOffer(in messages.Offer, answer func(messages.Done)) {
	if !n.isTakingOffer.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.isTakingOffer.Store(false)
		book, err := n.readConfig()
		if err != nil {
			return
		}
		lacking := book.Newer(in.Items)
		if len(lacking) > 0 {
			err = n.modify(lacking)
			n.note("warn", "items that only an agent held", "items", len(lacking), "error", err)
		}
		answer(messages.Done{OK: err == nil})
	}()
}

func durableRecord(t *tables, isChanged bool) []record {
	if !isChanged {
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
