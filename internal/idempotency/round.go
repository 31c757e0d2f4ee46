package idempotency

import "ploverhitch/internal/timetable"

// Standing is how far a vote round has come.
type Standing uint8

// The standings of a round.
const (
	Undecided Standing = iota
	Won
	Replayable
	Conflicting
	InWork
	Limited
	NoMajority
	TurnedAway
)

// Round gathers the votes of one attempt. What it comes to depends only on the
// replies and on the span in which they came.
type Round struct {
	Hash    Hash
	members int
	began   timetable.Steady
	span    timetable.Steady

	granted, held, over, lost int
	shed                      int
	terminal                  *Intent
	other                     *Intent
}

// NewRound begins a round among so many members; its grants count only within
// the span.
//
// Example:
//
//	round := idempotency.NewRound(hash, 3, clock.Steady(), span)
func NewRound(hash Hash, members int, began, span timetable.Steady) *Round {
	return &Round{Hash: hash, members: members, began: began, span: span}
}

// On takes one member's ballot, or nil from a member that could not be asked.
//
// Example:
//
//	round.On(&ballot)
func (r *Round) On(ballot *Ballot) {
	switch {
	case ballot == nil || ballot.Verdict == Refused:
		r.lost++
	case ballot.Verdict == Granted:
		r.granted++
	case ballot.Verdict == OverLimit:
		r.over++
	case ballot.Verdict == Shed:
		r.shed++
	case ballot.Verdict == Held && ballot.Held != nil:
		r.held++
		r.other = ballot.Held
		if !ballot.Held.State.IsOpen() && ballot.Held.Reply != nil {
			r.terminal = ballot.Held
		}
	default:
		r.lost++
	}
}

// Standing tells what the replies so far come to.
//
// Example:
//
//	if round.Standing(clock.Steady()) == idempotency.Won { deliver() }
func (r *Round) Standing(now timetable.Steady) Standing {
	majority := r.members/2 + 1
	isInTime := now-r.began <= r.span
	switch {
	case r.terminal != nil && r.terminal.Hash != r.Hash:
		return Conflicting
	case r.terminal != nil:
		return Replayable
	case r.granted >= majority && isInTime:
		return Won
	case r.members-r.held-r.over-r.lost-r.shed >= majority && isInTime && r.granted+r.held+r.over+r.lost+r.shed < r.members:
		return Undecided
	case r.held > 0 && r.other.Hash != r.Hash:
		return Conflicting
	case r.held > 0:
		return InWork
	case r.over > 0:
		return Limited
	case r.shed > 0 && r.shed >= r.lost:
		return TurnedAway
	}
	return NoMajority
}

// Terminal is the intent whose recorded reply answers the request.
//
// Example:
//
//	reply := round.Terminal().Reply
func (r *Round) Terminal() *Intent { return r.terminal }
