package control

import (
	"maps"
	"slices"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

// handlers is the table from a frame's kind to what the node does with it.
func (n *node) handlers() rpc.Handlers {
	return rpc.Handlers{
		feed.KindFollow:           n.hub.Handle,
		messages.KindReserve:      answering(n.onReserve),
		messages.KindRecord:       answering(n.onRecord),
		messages.KindLookup:       answering(n.onLookup),
		messages.KindPrepare:      answering(n.onPrepare),
		messages.KindAccept:       answering(n.onAccept),
		messages.KindLearn:        answering(n.onLearn),
		messages.KindState:        answering(n.onState),
		messages.KindCatchUp:      answering(n.onCatchUp),
		messages.KindPropose:      answering(n.onPropose),
		messages.KindOffer:        answering(n.onOffer),
		messages.KindMotion:       answering(n.onMotion),
		messages.KindBeat:         answering(n.onHeartbeat),
		messages.KindClaim:        answering(n.onClaim),
		messages.KindFleet:        answering(n.onFleet),
		messages.KindDump:         answering(n.onDump),
		messages.KindDigests:      answering(n.onDigests),
		messages.KindBriefs:       answering(n.onBriefs),
		messages.KindEntries:      answering(n.onEntries),
		messages.KindLeave:        answering(n.onLeave),
		messages.KindView:         answering(n.onView),
		messages.KindJoin:         answering(n.onJoin),
		messages.KindTrial:        answering(n.onTrial),
		messages.KindTrials:       answering(n.onTrials),
		messages.KindOrder:        answering(n.onOrder),
		messages.KindReport:       answering(n.onReport),
		messages.KindStage:        answering(n.onStage),
		messages.KindEvidence:     answering(n.onEvidence),
		messages.KindRenew:        answering(n.onRenew),
		messages.KindRelease:      answering(n.onRelease),
		messages.KindContact:      answering(n.onContact),
		messages.KindLeaving:      answering(n.onLeaving),
		messages.KindListProgress: answering(n.onListProgress),
	}
}

// answering reads the call's body as T and hands it over with the closure that
// answers it.
func answering[T, R any](handle func(in T, answer func(R))) func(rpc.Call) {
	return func(call rpc.Call) {
		var in T
		if len(call.Body) > 0 && rpc.Unpack(call.Body, &in) != nil {
			return
		}
		handle(in, func(out R) { call.Reply(out) })
	}
}

func (n *node) onReserve(in messages.Reserve, answer func(messages.Vote)) {
	var vote messages.Vote
	n.store.put(func(t *tables) []record {
		if !t.isTrusted || in.Epoch != t.view.Epoch || !t.view.Has(n.self) {
			vote.Ballot.Verdict = idempotency.Refused
			if t.view.Epoch > in.Epoch {
				view := t.view
				vote.View = &view
			}
			return nil
		}
		if t.sheds(in.Intent, n.clock.Steady()) {
			vote.Ballot.Verdict = idempotency.Shed
			return nil
		}
		var entry *idempotency.Entry
		if vote.Ballot, entry = t.voter.Reserve(in.Intent); entry == nil {
			return nil
		}
		return []record{{Entry: entry}}
	}, func() { answer(vote) })
}

func (n *node) onRecord(in messages.Record, answer func(messages.Done)) {
	isTaken := false
	n.store.put(func(t *tables) []record {
		entry, err := t.voter.Record(in.Intent)
		isTaken = err == nil
		if entry == nil || err != nil {
			return nil
		}
		return []record{{Entry: entry}}
	}, func() { answer(messages.Done{OK: isTaken}) })
}

func (n *node) onLookup(in messages.Lookup, answer func(messages.Found)) {
	var found messages.Found
	n.store.put(func(t *tables) []record {
		found.Intent = t.voter.Find(in.Key)
		return nil
	}, func() { answer(found) })
}

func (n *node) onMotion(in membership.Motion, answer func(membership.Response)) {
	var response membership.Response
	n.store.put(func(t *tables) []record {
		if !t.isTrusted {
			response = membership.Response{View: t.view}
			return nil
		}
		var isChanged bool
		if response, isChanged = t.acceptor.On(t.view, in); !isChanged {
			return nil
		}
		acceptor := t.acceptor
		return []record{{Acceptor: &acceptor}}
	}, func() { answer(response) })
}

func (n *node) onFleet(in feed.Fleet, answer func(messages.Done)) {
	isFresh := false
	n.store.put(func(t *tables) []record {
		if isFresh = in.Term >= t.term.Number; !isFresh || !in.Reading().Outranks(t.fleet.Reading()) {
			return nil
		}
		if in.Since != nil {
			// A change of what this node does not hold is of no use to it.
			if isFresh = *in.Since == t.fleet.Reading(); !isFresh {
				return nil
			}
			in = t.fleet.With(in)
		}
		isKept := feed.IsKeptAs(in.Servers, t.fleet.Servers)
		if t.fleet, t.fleetAt = in, n.clock.Steady(); isKept {
			return nil
		}
		return []record{{Fleet: &in}}
	}, func() {
		if isFresh {
			n.hub.Publish(feed.News{Fleet: &in})
		}
		answer(messages.Done{OK: isFresh})
	})
}

// onDump answers with all that this member keeps beside the intents.
func (n *node) onDump(in messages.Dump, answer func(messages.Page)) {
	var page messages.Page
	n.store.put(func(t *tables) []record {
		if t.view.Epoch < in.Epoch {
			return nil
		}
		page.OK, page.IsTrusted, page.Term, page.Trials = true, t.isTrusted, t.term, slices.Collect(maps.Values(t.trials))
		if t.view.Epoch == in.Epoch {
			page.Acceptor = t.acceptor
		}
		return nil
	}, func() { answer(page) })
}

func (n *node) onView(_ struct{}, answer func(membership.View)) {
	var view membership.View
	n.store.put(func(t *tables) []record { view = t.view; return nil }, func() { answer(view) })
}
