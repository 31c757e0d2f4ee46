package control

import (
	"errors"
	"time"

	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/derail"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

// peers carries the messages of one round. Answers count only within a vote span
// of the sending, on the steady clock: a member that lost its disk waits twice
// that span before it takes part again, so that none of its old answers can
// still be counted by then.
type peers struct {
	node  *node
	view  membership.View
	began timetable.Steady
}

func (p *peers) span() time.Duration { return p.node.set.Load().Tuning.VoteSpan.Std() }

func (p *peers) isOver(began timetable.Steady) bool {
	return time.Duration(p.node.clock.Steady()-began) > p.span()
}

// Prepare asks all members, and returns once a majority has promised, or a member
// shows that the round is lost. What came too late to count still tells the proposer
// what stands against it.
func (p *peers) Prepare(prepare registry.Prepare) (out []registry.Promise) {
	count := 0
	askAll(p.node, p.view.Members, messages.KindPrepare, prepare, p.span(), func(_ string, promise registry.Promise) bool {
		out = append(out, promise)
		if promise.OK {
			count++
		}
		return count >= p.view.Majority() || promise.IsLost(prepare)
	})
	if !p.isOver(p.began) {
		return out
	}
	for i := range out {
		out[i].OK = false
	}
	return out
}

// Accept asks all members, and returns once a majority has accepted, or a member
// shows that the round is lost.
func (p *peers) Accept(accept registry.Accept) (out []registry.Acceptance) {
	began, count := p.node.clock.Steady(), 0
	if p.isOver(p.began) {
		return nil
	}
	askAll(p.node, p.view.Members, messages.KindAccept, accept, p.span(), func(_ string, acceptance registry.Acceptance) bool {
		out = append(out, acceptance)
		if acceptance.OK {
			count++
		}
		return count >= p.view.Majority() || acceptance.IsLost(accept)
	})
	if !p.isOver(began) {
		return out
	}
	for i := range out {
		out[i].OK = false
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
		var known *derail.Error
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
		book, err := n.read()
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
