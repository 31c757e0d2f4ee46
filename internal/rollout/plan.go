package rollout

import (
	"math"
	"time"

	"ploverhitch/internal/outlier"
	"ploverhitch/internal/timetable"
)

// Plan is what the bounds allow a trial.
type Bounds struct {
	// CanaryShare is the share of a service's inquiries that a bad version may
	// have had by its term.
	CanaryShare float64
	// Ack is within how long an operator's order is repeated.
	CommandTimeout time.Duration
}

// Facts are what the holder of the duty knows at one moment.
type Observation struct {
	Elapsed time.Duration
	// InPhase is how long the trial has been in its phase.
	InPhase time.Duration
	Finding outlier.Finding
	// Ready and Old are what the servers of the new and of the old version can
	// take at once.
	ReadyCapacity, OldCapacity int
	ProxyProgress              outlier.Touch
}

const (
	// shiftPart and shiftLongest are the part of the term that is kept for
	// taking over, and how long that may be.
	shiftFraction = 0.4
	maxShiftTime  = 5 * time.Second
	endFraction   = 0.06
	maxEndTime    = 700 * time.Millisecond
	// readyPart is how much of the old servers' capacity must be there.
	minReadyFraction = 0.7
	// seenWanted is how many deliveries the trial wants to see.
	targetSamples     = 220
	minCanaryFraction = 0.25
	maxCanaryFraction = 0.6
)

// ramp is the share at each step of taking over, and how long a step lasts: a
// version that turns bad only under load is met before it has everything.
var shiftShares = []float64{0.15, 0.35, 0.65}

const shiftStepTime = 400 * time.Millisecond

func (s State) duration() time.Duration { return s.Duration.Std() }

// reserve is how long before the term the shift begins, end how long before
// it a trial that has not ended is ended.
func (s State) shiftReserve() time.Duration {
	return min(maxShiftTime, time.Duration(shiftFraction*float64(s.duration())))
}

func (s State) endReserve() time.Duration {
	return min(maxEndTime, time.Duration(endFraction*float64(s.duration())))
}

// Share is the part of the subject's inquiries that the new version gets.
//
// Example:
//
//	part := state.Share(plan, facts)
func (s State) Share(bounds Bounds, observed Observation) float64 {
	switch s.Phase {
	case Canary:
		trialTime := (s.duration() - s.shiftReserve()).Seconds()
		share := targetSamples / max(1, observed.Finding.Rate*trialTime)
		return bounds.CanaryShare * math.Min(maxCanaryFraction, math.Max(minCanaryFraction, share/bounds.CanaryShare))
	case Shifting:
		if step := int(observed.InPhase / shiftStepTime); step < len(shiftShares) {
			return shiftShares[step]
		}
		return 1
	case Draining:
		return 1
	}
	return 0
}

// Next is the event that the facts come to.
//
// Example:
//
//	event, reason := state.Next(facts)
func (s State) Next(observed Observation) (event Event, reason string) {
	remaining := s.duration() - observed.Elapsed
	fit := observed.Finding.Verdict == outlier.Fit
	switch {
	case !s.Phase.IsActive():
		return NoEvent, ""
	case observed.Finding.Verdict == outlier.Unfit:
		return Failed, observed.Finding.Reason
	case s.Phase == Draining && (observed.ProxyProgress.IsLeft() || remaining <= s.endReserve()):
		return Drained, ""
	case remaining <= s.endReserve():
		return TimedOut, "undecided at the term: " + observed.Finding.Reason
	case s.Phase == Canary && remaining <= s.shiftReserve():
		ready := float64(observed.ReadyCapacity) >= minReadyFraction*float64(observed.OldCapacity)
		if fit && ready && remaining > s.shiftReserve()/2 {
			return Passed, ""
		}
	case s.Phase == Shifting && observed.InPhase > time.Duration(len(shiftShares)+1)*shiftStepTime && observed.ProxyProgress.Behind == 0:
		return Shifted, ""
	}
	return NoEvent, ""
}

// IsRepeat tells whether an order is the last one once more.
//
// Example:
//
//	if state.IsRepeat("v2", duration, sinceOrder, plan) { answer(200) }
func (s State) IsRepeat(target string, duration timetable.Span, sinceCommand time.Duration, bounds Bounds) bool {
	return s.Number > 0 && s.TargetVersion == target && s.Duration == duration && (s.Phase.IsActive() || sinceCommand < 2*bounds.CommandTimeout)
}
