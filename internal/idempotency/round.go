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
func NewRound(hash RequestHash, members int, began, span timetable.Steady) *Round {
	return &Round{RequestHash: hash, members: members, startedAt: began, timeout: span}
}

// On takes one member's ballot, or nil from a member that could not be asked.
//
// Example:
//
//	round.On(&ballot)
func (r *Round) AddVote(ballot *Vote) {
	switch {
	case ballot == nil || ballot.Verdict == Refused:
		r.failed++
	case ballot.Verdict == Granted:
		r.granted++
	case ballot.Verdict == OverLimit:
		r.overLimit++
	case ballot.Verdict == Shed:
		r.shed++
	case ballot.Verdict == KeyInUse && ballot.Existing != nil:
		r.keyInUse++
		r.existing = ballot.Existing
		if !ballot.Existing.State.IsOpen() && ballot.Existing.Response != nil {
			r.terminal = ballot.Existing
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
	isInTime := now-r.startedAt <= r.timeout
	switch {
	case r.terminal != nil && r.terminal.RequestHash != r.RequestHash:
		return Conflict
	case r.terminal != nil:
		return Replayable
	case r.granted >= majority && isInTime:
		return Won
	case r.members-r.keyInUse-r.overLimit-r.failed-r.shed >= majority && isInTime && r.granted+r.keyInUse+r.overLimit+r.failed+r.shed < r.members:
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
