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

// handlers is the table from a frame's kind to what the box does with it.
func (b *box) handlers() rpc.Handlers {
	return rpc.Handlers{
		feed.KindFollow:       b.hub.Handle,
		messages.KindReserve:  answering(b.onReserve),
		messages.KindRecord:   answering(b.onRecord),
		messages.KindLookup:   answering(b.onLookup),
		messages.KindPrepare:  answering(b.onPrepare),
		messages.KindAccept:   answering(b.onAccept),
		messages.KindLearn:    answering(b.onLearn),
		messages.KindState:    answering(b.onState),
		messages.KindCatchUp:  answering(b.onCatchUp),
		messages.KindPropose:  answering(b.onPropose),
		messages.KindOffer:    answering(b.onOffer),
		messages.KindMotion:   answering(b.onMotion),
		messages.KindBeat:     answering(b.onBeat),
		messages.KindClaim:    answering(b.onClaim),
		messages.KindFleet:    answering(b.onFleet),
		messages.KindDump:     answering(b.onDump),
		messages.KindDigests:  answering(b.onDigests),
		messages.KindBriefs:   answering(b.onBriefs),
		messages.KindEntries:  answering(b.onEntries),
		messages.KindLeave:    answering(b.onLeave),
		messages.KindView:     answering(b.onView),
		messages.KindJoin:     answering(b.onJoin),
		messages.KindTrial:    answering(b.onTrial),
		messages.KindTrials:   answering(b.onTrials),
		messages.KindOrder:    answering(b.onOrder),
		messages.KindReport:   answering(b.onReport),
		messages.KindStage:    answering(b.onStage),
		messages.KindEvidence: answering(b.onEvidence),
		messages.KindRenew:    answering(b.onRenew),
		messages.KindRelease:  answering(b.onRelease),
		messages.KindContact:  answering(b.onContact),
		messages.KindLeaving:  answering(b.onLeaving),
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

func (b *box) onReserve(in messages.Reserve, answer func(messages.Vote)) {
	var vote messages.Vote
	b.keeper.put(func(t *tables) []record {
		if !t.isTrusted || in.Epoch != t.view.Epoch || !t.view.Has(b.self) {
			vote.Ballot.Verdict = idempotency.Refused
			if t.view.Epoch > in.Epoch {
				view := t.view
				vote.View = &view
			}
			return nil
		}
		if t.sheds(in.Intent, b.clock.Steady()) {
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

func (b *box) onRecord(in messages.Record, answer func(messages.Done)) {
	isTaken := false
	b.keeper.put(func(t *tables) []record {
		entry, err := t.voter.Record(in.Intent)
		isTaken = err == nil
		if entry == nil || err != nil {
			return nil
		}
		return []record{{Entry: entry}}
	}, func() { answer(messages.Done{OK: isTaken}) })
}

func (b *box) onLookup(in messages.Lookup, answer func(messages.Found)) {
	var found messages.Found
	b.keeper.put(func(t *tables) []record {
		found.Intent = t.voter.Find(in.Key)
		return nil
	}, func() { answer(found) })
}

func (b *box) onMotion(in membership.Motion, answer func(membership.Response)) {
	var response membership.Response
	b.keeper.put(func(t *tables) []record {
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

func (b *box) onFleet(in feed.Fleet, answer func(messages.Done)) {
	isFresh := false
	b.keeper.put(func(t *tables) []record {
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
		if t.fleet, t.fleetAt = in, b.clock.Steady(); isKept {
			return nil
		}
		return []record{{Fleet: &in}}
	}, func() {
		if isFresh {
			b.hub.Publish(feed.News{Fleet: &in})
		}
		answer(messages.Done{OK: isFresh})
	})
}

// onDump answers with all that this member keeps beside the intents.
func (b *box) onDump(in messages.Dump, answer func(messages.Page)) {
	var page messages.Page
	b.keeper.put(func(t *tables) []record {
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

func (b *box) onView(_ struct{}, answer func(membership.View)) {
	var view membership.View
	b.keeper.put(func(t *tables) []record { view = t.view; return nil }, func() { answer(view) })
}
