package rollout

import (
	"math"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/outlier"
)

// Bounds are the configured limits that a rollout has to keep.
type Bounds struct {
	// CanaryShare is the largest share of a service's requests that a bad version
	// may have received by the end of its rollout.
	CanaryShare float64
	// CommandTimeout is the time within which an operator's client repeats a
	// command.
	CommandTimeout time.Duration
}

// Observation is what the leader knows of a rollout at one moment.
type Observation struct {
	Elapsed time.Duration
	// InPhase is how long the rollout has been in its current phase.
	InPhase time.Duration
	Finding outlier.Evaluation
	// ReadyCapacity and OldCapacity are the numbers of concurrent requests that
	// the servers of the new and of the old version can take.
	ReadyCapacity, OldCapacity int
	ProxyProgress              outlier.Usage
}

const (
	// shiftFraction is the fraction of a rollout's duration that is kept for
	// shifting traffic to the new version; maxShiftTime is its upper limit.
	shiftFraction = 0.4
	maxShiftTime  = 5 * time.Second
	// endFraction is the fraction of a rollout's duration before its end at which an
	// undecided rollout is ended; maxEndTime is its upper limit.
	endFraction = 0.06
	maxEndTime  = 700 * time.Millisecond
	// minReadyFraction is the part of the old servers' capacity that the new
	// servers must have before traffic is shifted to them.
	minReadyFraction = 0.7
	// targetSamples is the number of requests on the new version that the canary
	// phase aims for.
	targetSamples = 220
	// minCanaryFraction and maxCanaryFraction limit the share of the canary phase,
	// as fractions of Bounds.CanaryShare.
	minCanaryFraction = 0.25
	maxCanaryFraction = 0.6
)

// shiftShares are the shares of the steps in which traffic is shifted to the new
// version. The steps reveal a version that fails only under load before it
// receives all traffic.
var shiftShares = []float64{0.15, 0.35, 0.65}

// shiftStepTime is the time between two steps.
const shiftStepTime = 400 * time.Millisecond

func (s State) duration() time.Duration { return s.Duration.Std() }

// shiftReserve is the time before the end of the rollout at which the shift
// begins.
func (s State) shiftReserve() time.Duration {
	return min(maxShiftTime, time.Duration(shiftFraction*float64(s.duration())))
}

// endReserve is the time before the end of the rollout at which an undecided
// rollout is ended.
func (s State) endReserve() time.Duration {
	return min(maxEndTime, time.Duration(endFraction*float64(s.duration())))
}

// Share returns the share of the service's requests that the new version gets.
func (s State) Share(bounds Bounds, observed Observation) float64 {
	switch s.Phase {
	case Canary:
		canaryTime := (s.duration() - s.shiftReserve()).Seconds()
		share := targetSamples / max(1, observed.Finding.Rate*canaryTime)
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

// Next returns the event that follows from an observation of a service's rollout,
// and its reason, or NoEvent.
func (s State) Next(observed Observation) (event Event, reason string) {
	remaining := s.duration() - observed.Elapsed
	fit := observed.Finding.Verdict == outlier.Pass
	switch {
	case !s.Phase.IsActive():
		return NoEvent, ""
	case observed.Finding.Verdict == outlier.Fail:
		return Failed, observed.Finding.Reason
	case s.Phase == Draining && (observed.ProxyProgress.Drained() || remaining <= s.endReserve()):
		return Drained, ""
	case remaining <= s.endReserve():
		return TimedOut, "undecided at the end of the rollout: " + observed.Finding.Reason
	case s.Phase == Canary && remaining <= s.shiftReserve():
		ready := float64(observed.ReadyCapacity) >= minReadyFraction*float64(observed.OldCapacity)
		if fit && ready && remaining > s.shiftReserve()/2 {
			return Passed, ""
		}
	case s.Phase == Shifting && observed.InPhase > time.Duration(len(shiftShares)+1)*shiftStepTime && observed.ProxyProgress.Outdated == 0:
		return Shifted, ""
	}
	return NoEvent, ""
}

// IsRepeat reports whether a start command repeats the last one. The last command
// is recognized while its rollout is active and for two command timeouts after it.
func (s State) IsRepeat(target string, duration clock.Duration, sinceCommand time.Duration, bounds Bounds) bool {
	return s.Number > 0 && s.TargetVersion == target && s.Duration == duration && (s.Phase.IsActive() || sinceCommand < 2*bounds.CommandTimeout)
}
