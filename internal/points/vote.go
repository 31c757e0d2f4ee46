package points

import (
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

// reserve asks every member of the core at once.
func (a *attempt) reserve() idempotency.Result {
	view := a.sight.Load().view
	began, span := a.clock.Steady(), a.set.Load().Tuning.VoteSpan
	a.round = idempotency.NewRound(a.intent.RequestHash, max(1, len(view.Members)), began, timetable.Steady(span))
	votes, forget := askMembers[messages.Vote](a.proxy, view, messages.KindReserve, messages.Reserve{Epoch: view.Epoch, Intent: a.intent})
	defer forget()
	alarm := time.NewTimer(min(span.Std(), time.Until(a.one.due), a.patience()))
	defer alarm.Stop()
	for range view.Members {
		select {
		case got := <-votes:
			a.take(got)
		case <-alarm.C:
			return a.round.Result(began + timetable.Steady(span) + 1)
		}
		if standing := a.round.Result(a.clock.Steady()); standing != idempotency.Undecided {
			return standing
		}
	}
	return a.round.Result(began + timetable.Steady(span) + 1)
}

const (
	// voteShare is the part of the lane's aim that a round may take: a client
	// that is refused early enough can still be served in time.
	voteShare  = 5
	voteLeast  = 60 * time.Millisecond
	voteMargin = 10 * time.Millisecond
)

// patience is how long a round that comes to nothing may hold the client.
func (a *attempt) patience() time.Duration {
	aim := a.one.lane.TargetLatency.Std()
	if aim == 0 {
		aim = a.one.lane.Timeout.Std()
	}
	return max(voteLeast, aim/voteShare-time.Since(a.one.arrived)-voteMargin)
}

func (a *attempt) take(got said[messages.Vote]) {
	if got.reply == nil || got.reply.Ballot.Existing != nil && got.reply.Ballot.Existing.Key != a.intent.Key {
		// A ballot on another key is none.
		a.round.AddVote(nil)
		return
	}
	if got.reply.Ballot.Verdict != idempotency.Granted {
		a.ungranted[got.member] = true
	}
	if got.reply.View != nil {
		a.loop.Offer(feed.News{View: got.reply.View})
	}
	a.round.AddVote(&got.reply.Ballot)
}

// giveBack frees the votes of an attempt that will never be delivered. Only
// this proxy could have delivered it, so freeing them is safe. A member whose line
// broke on the way is told again once the line is made anew: its vote would
// otherwise hold the key.
func (a *attempt) giveBack() {
	a.intent.State = idempotency.Released
	view := a.sight.Load().view
	if len(a.ungranted) < len(view.Members) {
		a.recent.add(a.intent, a.clock.Steady(), timetable.Steady(a.set.Load().Platform.Bounds.Sync))
	}
	for _, member := range view.Members {
		if !a.ungranted[member] {
			a.line(member).Send(messages.KindRecord, messages.Record{Intent: a.intent}, nil)
		}
	}
}
