package points

import (
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/ledger"
	"ploverhitch/internal/telegram"
	"ploverhitch/internal/timetable"
)

// reserve asks the core for its votes: a majority first, the rest once one of
// those asked is late or withholds its vote.
func (a *attempt) reserve() ledger.Standing {
	view := a.sight.Load().view
	order, first := a.orderFor(view, a.one.key)
	a.epoch, a.order, a.asked = view.Epoch, order, first
	began, span := a.clock.Steady(), a.set.Load().Tuning.VoteSpan
	a.round = ledger.NewRound(a.intent.Hash, max(1, len(view.Members)), began, timetable.Steady(span))
	votes := askMembers[telegram.Vote](a.proxy, order, first, telegram.KindReserve, telegram.Reserve{Epoch: view.Epoch, Intent: a.intent})
	defer votes.forget()
	patience := min(span.Std(), time.Until(a.one.due), a.patience())
	alarm, spare := time.NewTimer(patience), time.NewTimer(min(spareMost, patience/spareShare))
	defer alarm.Stop()
	defer spare.Stop()
	for votes.open > 0 {
		isLate := false
		select {
		case got := <-votes.replies:
			votes.open--
			a.take(got)
		case <-spare.C:
			isLate = true
		case <-alarm.C:
			return a.round.Standing(began + timetable.Steady(span) + 1)
		}
		if standing := a.round.Standing(a.clock.Steady()); standing != ledger.Undecided {
			return standing
		}
		if isLate || votes.open == 0 {
			votes.more(len(order))
			a.asked = len(order)
		}
	}
	return a.round.Standing(began + timetable.Steady(span) + 1)
}

const (
	// voteShare is the part of the lane's aim that a round may take: a client
	// that is refused early enough can still be served in time.
	voteShare  = 5
	voteLeast  = 60 * time.Millisecond
	voteMargin = 10 * time.Millisecond
	// spareShare is the part of its patience for which a round spares the members
	// that were not asked.
	spareShare = 3
)

// patience is how long a round that comes to nothing may hold the client.
func (a *attempt) patience() time.Duration {
	aim := a.one.lane.TargetLatency.Std()
	if aim == 0 {
		aim = a.one.lane.Timeout.Std()
	}
	return max(voteLeast, aim/voteShare-time.Since(a.one.arrived)-voteMargin)
}

func (a *attempt) take(got said[telegram.Vote]) {
	if got.reply == nil {
		a.round.On(nil)
		return
	}
	if got.reply.Ballot.Verdict != ledger.Granted {
		a.ungranted[got.member] = true
	}
	if got.reply.View != nil {
		a.loop.Offer(feed.News{View: got.reply.View})
	}
	a.round.On(&got.reply.Ballot)
}

// giveBack frees the votes of an attempt that will never be delivered. Only
// this proxy could have delivered it, so freeing them is safe.
func (a *attempt) giveBack() {
	a.intent.State = ledger.Released
	for _, member := range a.order[:a.asked] {
		if !a.ungranted[member] {
			a.line(member).Send(telegram.KindRecord, telegram.Record{Intent: a.intent}, nil)
		}
	}
}
