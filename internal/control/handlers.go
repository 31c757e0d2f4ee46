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

// newHandlers maps the kinds of frames to their handlers.
func (n *node) newHandlers() rpc.Handlers {
	return rpc.Handlers{
		feed.KindFollow:              n.hub.Handle,
		messages.KindReserve:         typedHandler(n, n.onReserve),
		messages.KindRecord:          typedHandler(n, n.onRecord),
		messages.KindLookup:          typedHandler(n, n.onLookup),
		messages.KindPrepare:         typedHandler(n, n.onPrepare),
		messages.KindAccept:          typedHandler(n, n.onAccept),
		messages.KindLearn:           typedHandler(n, n.onLearn),
		messages.KindReplicaState:    typedHandler(n, n.onState),
		messages.KindCatchUp:         typedHandler(n, n.onCatchUp),
		messages.KindPropose:         typedHandler(n, n.onPropose),
		messages.KindOfferItems:      typedHandler(n, n.onOffer),
		messages.KindProposal:        typedHandler(n, n.onProposal),
		messages.KindHeartbeat:       typedHandler(n, n.onHeartbeat),
		messages.KindClaim:           typedHandler(n, n.onClaim),
		messages.KindFleet:           typedHandler(n, n.onFleet),
		messages.KindMemberState:     typedHandler(n, n.onMemberState),
		messages.KindDigests:         typedHandler(n, n.onDigests),
		messages.KindSummaries:       typedHandler(n, n.onSummaries),
		messages.KindEntries:         typedHandler(n, n.onEntries),
		messages.KindLeave:           typedHandler(n, n.onLeave),
		messages.KindView:            typedHandler(n, n.onView),
		messages.KindJoin:            typedHandler(n, n.onJoin),
		messages.KindWriteRollout:    typedHandler(n, n.onRollout),
		messages.KindReadRollouts:    typedHandler(n, n.onRollouts),
		messages.KindStartRollout:    typedHandler(n, n.onStartRollout),
		messages.KindProxyReport:     typedHandler(n, n.onReport),
		messages.KindStagedChange:    typedHandler(n, n.onStagedChange),
		messages.KindRolloutEvidence: typedHandler(n, n.onEvidence),
		messages.KindRenew:           typedHandler(n, n.onRenew),
		messages.KindRelease:         typedHandler(n, n.onRelease),
		messages.KindContact:         typedHandler(n, n.onContact),
		messages.KindLeavingServers:  typedHandler(n, n.onLeaving),
		messages.KindListProgress:    typedHandler(n, n.onListProgress),
	}
}

// typedHandler returns a handler that decodes calls as T, and counts and logs those that
// cannot be decoded.
func typedHandler[T, R any](n *node, handle func(in T, reply func(R))) func(rpc.Call) {
	return rpc.TypedHandler(handle, n.reportUndecodable)
}

// reportUndecodable counts and logs a call whose body cannot be decoded.
func (n *node) reportUndecodable(call rpc.Call, err error) {
	n.log("error", "a call cannot be decoded and is rejected", "kind", call.Kind, "bytes", len(call.Body), "count", n.undecodableCalls.Add(1), "error", err)
}

func (n *node) onReserve(in messages.Reserve, reply func(messages.Vote)) {
	var vote messages.Vote
	// The proxy's time of day may be behind: the key's window must not end early because of it.
	in.Intent.CreatedMs = max(in.Intent.CreatedMs, n.clock.SteadyWall().UnixMilli())
	n.store.enqueue(func(t *tables) []record {
		if !t.trusted || in.Epoch != t.view.Epoch || !t.view.Contains(n.self) {
			vote.Vote.Verdict = idempotency.Refused
			if t.view.Epoch > in.Epoch {
				view := t.view
				vote.View = &view
			}
			return nil
		}
		if t.sheds(in.Intent, n.clock.Monotonic()) {
			vote.Vote.Verdict = idempotency.Shed
			return nil
		}
		var entry *idempotency.Entry
		if vote.Vote, entry = t.voter.Reserve(in.Intent); entry == nil {
			return nil
		}
		return []record{{Entry: entry}}
	}, func() { reply(vote) })
}

func (n *node) onRecord(in messages.Record, reply func(messages.Ack)) {
	accepted := false
	n.store.enqueue(func(t *tables) []record {
		holder := t.voter.Find(in.Intent.Key)
		entry, err := t.voter.Record(in.Intent)
		accepted = err == nil
		if holder != nil && holder.Attempt != in.Intent.Attempt {
			n.logForeignRecord(in.Intent, *holder, t.voter.Find(in.Intent.Key))
		}
		if entry == nil || err != nil {
			return nil
		}
		return []record{{Entry: entry}}
	}, func() { reply(messages.Ack{OK: accepted}) })
}

// logForeignRecord logs a record that arrived while another attempt held its key, with
// the attempt that holds the key after it.
func (n *node) logForeignRecord(reported, before idempotency.Intent, after *idempotency.Intent) {
	holder := idempotency.Attempt("none")
	if after != nil {
		holder = after.Attempt
	}
	n.log("debug", "record of an attempt other than the holder of the key", "key", reported.Key.Key, "attempt", reported.Attempt,
		"state", reported.State, "ageMs", n.clock.SteadyWall().UnixMilli()-reported.CreatedMs, "holder", before.Attempt, "holderState", before.State, "holderAfter", holder)
}

func (n *node) onLookup(in messages.Lookup, reply func(messages.LookupResponse)) {
	var found messages.LookupResponse
	n.store.enqueue(func(t *tables) []record {
		found.Intent = t.voter.Find(in.Key)
		return nil
	}, func() { reply(found) })
}

func (n *node) onProposal(in membership.Proposal, reply func(membership.Response)) {
	var response membership.Response
	n.store.enqueue(func(t *tables) []record {
		if !t.trusted {
			response = membership.Response{View: t.view}
			return nil
		}
		var changed bool
		if response, changed = t.acceptor.Respond(t.view, in); !changed {
			return nil
		}
		acceptor := t.acceptor
		return []record{{Acceptor: &acceptor}}
	}, func() { reply(response) })
}

func (n *node) onFleet(in feed.Fleet, reply func(messages.Ack)) {
	accepted := false
	n.store.enqueue(func(t *tables) []record {
		if accepted = in.Term >= t.term.Number; !accepted || !in.Version().NewerThan(t.fleet.Version()) {
			return nil
		}
		if in.Base != nil {
			// A delta applies only to the fleet version that it is based on.
			if accepted = *in.Base == t.fleet.Version(); !accepted {
				return nil
			}
			in = t.fleet.Apply(in)
		}
		unchanged := feed.EqualIgnoringHealth(in.Servers, t.fleet.Servers)
		if t.fleet, t.fleetReceivedAt = in, n.clock.Monotonic(); unchanged {
			return nil
		}
		return []record{{Fleet: &in}}
	}, func() {
		if accepted {
			n.hub.Publish(feed.Update{Fleet: &in})
		}
		reply(messages.Ack{OK: accepted})
	})
}

// onMemberState replies with this member's state other than the intents and the item set.
func (n *node) onMemberState(in messages.MemberState, reply func(messages.MemberStateResponse)) {
	var page messages.MemberStateResponse
	n.store.enqueue(func(t *tables) []record {
		if t.view.Epoch < in.Epoch {
			return nil
		}
		page.OK, page.Trusted, page.Term, page.Rollouts = true, t.trusted, t.term, slices.Collect(maps.Values(t.rollouts))
		if t.view.Epoch == in.Epoch {
			page.Acceptor = t.acceptor
		}
		return nil
	}, func() { reply(page) })
}

func (n *node) onView(_ struct{}, reply func(membership.View)) {
	var view membership.View
	n.store.enqueue(func(t *tables) []record { view = t.view; return nil }, func() { reply(view) })
}
