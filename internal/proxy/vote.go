package proxy

import (
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
)

// reserve requests the votes of all control-plane members in parallel, and returns the
// result of the round.
func (a *keyedAttempt) reserve() idempotency.Result {
	view := a.snapshot.Load().view
	start, voteSpan := a.clock.Monotonic(), a.settings.Load().Tuning.VoteTimeout
	a.round = idempotency.NewRound(a.intent.RequestHash, max(1, len(view.Members)), start, clock.Instant(voteSpan))
	votes, cancel := callMembers[messages.Vote](a.proxy, view, messages.KindReserve, messages.Reserve{Epoch: view.Epoch, Intent: a.intent})
	defer cancel()
	timer := time.NewTimer(min(voteSpan.Std(), time.Until(a.request.deadline), a.voteTimeout()))
	defer timer.Stop()
	for range view.Members {
		select {
		case vote := <-votes:
			a.addVote(vote)
		case <-timer.C:
			return a.round.Result(start + clock.Instant(voteSpan) + 1)
		}
		if result := a.round.Result(a.clock.Monotonic()); result != idempotency.Undecided {
			return result
		}
	}
	return a.round.Result(start + clock.Instant(voteSpan) + 1)
}

const (
	// voteTargetDivisor: a round may take this fraction of the route's target latency,
	// so that a client rejected early enough can still be served in time.
	voteTargetDivisor = 5
	minVoteTimeout    = 60 * time.Millisecond
	voteMargin        = 10 * time.Millisecond
)

// voteTimeout returns how long a round without a result may delay the client.
func (a *keyedAttempt) voteTimeout() time.Duration {
	target := a.request.route.TargetLatency.Std()
	if target == 0 {
		target = a.request.route.Timeout.Std()
	}
	return max(minVoteTimeout, target/voteTargetDivisor-time.Since(a.request.arrivedAt)-voteMargin)
}

// addVote counts one member's vote, and takes over a newer membership view that comes
// with it.
func (a *keyedAttempt) addVote(vote memberReply[messages.Vote]) {
	if vote.reply == nil || vote.reply.Vote.Existing != nil && vote.reply.Vote.Existing.Key != a.intent.Key {
		// A vote on another key counts as no vote.
		a.round.AddVote(nil)
		return
	}
	if vote.reply.Vote.Verdict != idempotency.Granted {
		a.ungranted[vote.member] = true
	}
	if vote.reply.View != nil {
		a.updateLoop.Offer(feed.Update{View: vote.reply.View})
	}
	a.round.AddVote(&vote.reply.Vote)
}

// releaseVotes releases the votes of an attempt that will never be sent to a server.
// This is safe because only this proxy could have sent it. A member whose connection
// breaks meanwhile gets the release again after the reconnect; otherwise its vote would
// keep the key reserved.
func (a *keyedAttempt) releaseVotes() {
	a.intent.State = idempotency.Released
	view := a.snapshot.Load().view
	if len(a.ungranted) < len(view.Members) {
		a.recentIntents.add(a.intent, a.clock.Monotonic(), a.recordRetention())
	}
	for _, member := range view.Members {
		if !a.ungranted[member] {
			a.connection(member).Send(messages.KindRecord, messages.Record{Intent: a.intent}, nil)
		}
	}
}
