package idempotency

import "ploverhitch/internal/clock"

// Result is the result of a vote round so far.
type Result uint8

// The results of a round.
const (
	// Undecided means that outstanding votes may still form a majority of grants.
	Undecided Result = iota
	// Won means that a majority granted the key in time.
	Won
	// Replayable means that a recorded response answers the request.
	Replayable
	// RequestMismatch means that the key was used for a different request.
	RequestMismatch
	// InProgress means that another attempt for the same request holds the key.
	InProgress
	// LimitExceeded means that the route has too many open intents.
	LimitExceeded
	// NoMajority means that too few members granted the key in time.
	NoMajority
	// Overloaded means that members shed the request.
	Overloaded
)

// Round collects the votes for one attempt. Its result depends only on the votes and
// on whether they arrived within the timeout.
type Round struct {
	RequestHash RequestHash
	members     int
	startedAt   clock.Instant
	timeout     clock.Instant

	granted, keyInUse, overLimit, failed int
	shed                                 int
	terminal                             *Intent
	existing                             *Intent
}

// NewRound starts a round among the given number of members. Grants count only until
// the timeout.
func NewRound(requestHash RequestHash, members int, startedAt, timeout clock.Instant) *Round {
	return &Round{RequestHash: requestHash, members: members, startedAt: startedAt, timeout: timeout}
}

// AddVote adds the vote of one member, or nil for a member that could not be asked.
func (r *Round) AddVote(vote *Vote) {
	switch {
	case vote == nil || vote.Verdict == Refused:
		r.failed++
	case vote.Verdict == Granted:
		r.granted++
	case vote.Verdict == OverLimit:
		r.overLimit++
	case vote.Verdict == Shed:
		r.shed++
	case vote.Verdict == KeyInUse && vote.Existing != nil:
		r.keyInUse++
		r.existing = vote.Existing
		if !vote.Existing.State.IsOpen() && vote.Existing.Response != nil {
			r.terminal = vote.Existing
		}
	default:
		r.failed++
	}
}

// Result evaluates the votes received so far.
func (r *Round) Result(now clock.Instant) Result {
	majority := r.members/2 + 1
	inTime := now-r.startedAt <= r.timeout
	switch {
	case r.terminal != nil && r.terminal.RequestHash != r.RequestHash:
		return RequestMismatch
	case r.terminal != nil:
		return Replayable
	case r.granted >= majority && inTime:
		return Won
	case r.members-r.keyInUse-r.overLimit-r.failed-r.shed >= majority && inTime && r.granted+r.keyInUse+r.overLimit+r.failed+r.shed < r.members:
		return Undecided
	case r.keyInUse > 0 && r.existing.RequestHash != r.RequestHash:
		return RequestMismatch
	case r.keyInUse > 0:
		return InProgress
	case r.overLimit > 0:
		return LimitExceeded
	case r.shed > 0 && r.shed >= r.failed:
		return Overloaded
	}
	return NoMajority
}

// Terminal returns the final intent whose recorded response answers the request, or
// nil.
func (r *Round) Terminal() *Intent { return r.terminal }
