package idempotency

import "ploverhitch/internal/timetable"

// Standing is how far a vote round has come.
type RoundStatus uint8

// The standings of a round.
const (
	Undecided RoundStatus = iota
	Won
	Replayable
	Conflict
	InProgress
	LimitExceeded
	NoMajority
	Overloaded
)

// Round gathers the votes of one attempt. What it comes to depends only on the
// replies and on the span in which they came.
type Round struct {
	RequestHash RequestHash
	members     int
	startedAt   timetable.Steady
	timeout     timetable.Steady

	granted, keyInUse, overLimit, failed int
	shed                                 int
	terminal                             *Intent
	existing                             *Intent
}

// NewRound begins a round among so many members; its grants count only within
// the span.
//
// Example:
//
//	round := idempotency.NewRound(hash, 3, clock.Steady(), span)
func NewRound(requestHash RequestHash, members int, startedAt, timeout timetable.Steady) *Round {
	return &Round{RequestHash: requestHash, members: members, startedAt: startedAt, timeout: timeout}
}

// On takes one member's ballot, or nil from a member that could not be asked.
//
// Example:
//
//	round.On(&ballot)
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

// Standing tells what the replies so far come to.
//
// Example:
//
//	if round.Standing(clock.Steady()) == idempotency.Won { deliver() }
func (r *Round) Status(now timetable.Steady) RoundStatus {
	majority := r.members/2 + 1
	inTime := now-r.startedAt <= r.timeout
	switch {
	case r.terminal != nil && r.terminal.RequestHash != r.RequestHash:
		return Conflict
	case r.terminal != nil:
		return Replayable
	case r.granted >= majority && inTime:
		return Won
	case r.members-r.keyInUse-r.overLimit-r.failed-r.shed >= majority && inTime && r.granted+r.keyInUse+r.overLimit+r.failed+r.shed < r.members:
		return Undecided
	case r.keyInUse > 0 && r.existing.RequestHash != r.RequestHash:
		return Conflict
	case r.keyInUse > 0:
		return InProgress
	case r.overLimit > 0:
		return LimitExceeded
	case r.shed > 0 && r.shed >= r.failed:
		return Overloaded
	}
	return NoMajority
}

// Terminal is the intent whose recorded reply answers the request.
//
// Example:
//
//	reply := round.Terminal().Reply
func (r *Round) Terminal() *Intent { return r.terminal }
