package proxy

import (
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

// reserve asks every member of the core at once.
func (a *keyedAttempt) reserve() idempotency.Standing {
	view := a.snapshot.Load().view
	start, voteSpan := a.clock.Steady(), a.settings.Load().Tuning.VoteSpan
	a.round = idempotency.NewRound(a.intent.Hash, max(1, len(view.Members)), start, timetable.Steady(voteSpan))
	votes, cancel := askMembers[messages.Vote](a.proxy, view, messages.KindReserve, messages.Reserve{Epoch: view.Epoch, Intent: a.intent})
	defer cancel()
	timer := time.NewTimer(min(voteSpan.Std(), time.Until(a.request.deadline), a.voteTimeout()))
	defer timer.Stop()
	for range view.Members {
		select {
		case vote := <-votes:
			a.addVote(vote)
		case <-timer.C:
			return a.round.Standing(start + timetable.Steady(voteSpan) + 1)
		}
		if standing := a.round.Standing(a.clock.Steady()); standing != idempotency.Undecided {
			return standing
		}
	}
	return a.round.Standing(start + timetable.Steady(voteSpan) + 1)
}

const (
	// voteShare is the part of the lane's aim that a round may take: a client
	// that is refused early enough can still be served in time.
	voteTargetDivisor = 5
	minVoteTimeout    = 60 * time.Millisecond
	voteMargin        = 10 * time.Millisecond
)

// patience is how long a round that comes to nothing may hold the client.
func (a *keyedAttempt) voteTimeout() time.Duration {
	target := a.request.route.TargetLatency.Std()
	if target == 0 {
		target = a.request.route.Timeout.Std()
	}
	return max(minVoteTimeout, target/voteTargetDivisor-time.Since(a.request.arrivedAt)-voteMargin)
}

func (a *keyedAttempt) addVote(vote said[messages.Vote]) {
	if vote.reply == nil || vote.reply.Ballot.Held != nil && vote.reply.Ballot.Held.Key != a.intent.Key {
		// A ballot on another key is none.
		a.round.On(nil)
		return
	}
	if vote.reply.Ballot.Verdict != idempotency.Granted {
		a.ungranted[vote.member] = true
	}
	if vote.reply.View != nil {
		a.updateLoop.Offer(feed.News{View: vote.reply.View})
	}
	a.round.On(&vote.reply.Ballot)
}

// giveBack frees the votes of an attempt that will never be delivered. Only
// this proxy could have delivered it, so freeing them is safe. A member whose line
// broke on the way is told again once the line is made anew: its vote would
// otherwise hold the key.
func (a *keyedAttempt) releaseVotes() {
	a.intent.State = idempotency.Released
	view := a.snapshot.Load().view
	if len(a.ungranted) < len(view.Members) {
		a.recentIntents.add(a.intent, a.clock.Steady(), timetable.Steady(a.settings.Load().Platform.Bounds.Sync))
	}
	for _, member := range view.Members {
		if !a.ungranted[member] {
			a.connection(member).Send(messages.KindRecord, messages.Record{Intent: a.intent}, nil)
		}
	}
}
