package rollout

import (
	"math"
	"time"

	"ploverhitch/internal/outlier"
	"ploverhitch/internal/timetable"
)

// Plan is what the bounds allow a trial.
type Plan struct {
	// CanaryShare is the share of a service's inquiries that a bad version may
	// have had by its term.
	CanaryShare float64
	// Ack is within how long an operator's order is repeated.
	Ack time.Duration
}

// Facts are what the holder of the duty knows at one moment.
type Facts struct {
	Elapsed time.Duration
	// InPhase is how long the trial has been in its phase.
	InPhase time.Duration
	Finding outlier.Finding
	// Ready and Old are what the servers of the new and of the old version can
	// take at once.
	Ready, Old int
	Touch      outlier.Touch
}

const (
	// shiftPart and shiftLongest are the part of the term that is kept for
	// taking over, and how long that may be.
	shiftPart    = 0.4
	shiftLongest = 5 * time.Second
	endPart      = 0.06
	endLongest   = 700 * time.Millisecond
	// readyPart is how much of the old servers' capacity must be there.
	readyPart = 0.7
	// seenWanted is how many deliveries the trial wants to see.
	seenWanted = 220
	leastPart  = 0.25
	mostPart   = 0.6
)

// ramp is the share at each step of taking over, and how long a step lasts: a
// version that turns bad only under load is met before it has everything.
var ramp = []float64{0.15, 0.35, 0.65}

const rampStep = 400 * time.Millisecond

func (s State) term() time.Duration { return s.Duration.Std() }

// reserve is how long before the term the shift begins, end how long before
// it a trial that has not ended is ended.
func (s State) reserve() time.Duration {
	return min(shiftLongest, time.Duration(shiftPart*float64(s.term())))
}

func (s State) end() time.Duration {
	return min(endLongest, time.Duration(endPart*float64(s.term())))
}

// Share is the part of the subject's inquiries that the new version gets.
//
// Example:
//
//	part := state.Share(plan, facts)
func (s State) Share(plan Plan, facts Facts) float64 {
	switch s.Phase {
	case Trying:
		span := (s.term() - s.reserve()).Seconds()
		wanted := seenWanted / max(1, facts.Finding.Rate*span)
		return plan.CanaryShare * math.Min(mostPart, math.Max(leastPart, wanted/plan.CanaryShare))
	case Shifting:
		if step := int(facts.InPhase / rampStep); step < len(ramp) {
			return ramp[step]
		}
		return 1
	case Emptying:
		return 1
	}
	return 0
}

// Next is the event that the facts come to.
//
// Example:
//
//	event, reason := state.Next(facts)
func (s State) Next(facts Facts) (event Event, reason string) {
	left := s.term() - facts.Elapsed
	isFit := facts.Finding.Verdict == outlier.Fit
	switch {
	case !s.Phase.IsActive():
		return None, ""
	case facts.Finding.Verdict == outlier.Unfit:
		return Harmed, facts.Finding.Reason
	case s.Phase == Emptying && (facts.Touch.IsLeft() || left <= s.end()):
		return Emptied, ""
	case left <= s.end():
		return Lapsed, "undecided at the term: " + facts.Finding.Reason
	case s.Phase == Trying && left <= s.reserve():
		isReady := float64(facts.Ready) >= readyPart*float64(facts.Old)
		if isFit && isReady && left > s.reserve()/2 {
			return Proved, ""
		}
	case s.Phase == Shifting && facts.InPhase > time.Duration(len(ramp)+1)*rampStep && facts.Touch.Behind == 0:
		return Shifted, ""
	}
	return None, ""
}

// IsRepeat tells whether an order is the last one once more.
//
// Example:
//
//	if state.IsRepeat("v2", duration, sinceOrder, plan) { answer(200) }
func (s State) IsRepeat(target string, duration timetable.Span, sinceOrder time.Duration, plan Plan) bool {
	return s.Number > 0 && s.Target == target && s.Duration == duration && (s.Phase.IsActive() || sinceOrder < 2*plan.Ack)
}
