// Package rollout is the state machine that introduces a change under traffic: a
// new version of a service, or a staged change of routes. It has no clock, network
// or disk of its own.
package rollout

import (
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
)

// Phase is the progress of a rollout. Phases only go forward until another rollout
// of the same subject starts.
type Phase uint8

// The phases.
const (
	// Idle means that no rollout was ever started; a version is in force.
	Idle Phase = iota
	// Canary means that the change gets a small share of the traffic, or the first
	// waves of nodes.
	Canary
	// Shifting means that the change was found fit and traffic moves to it step by
	// step.
	Shifting
	// Draining means that the change has all traffic; the requests still running at
	// the old version end.
	Draining
	// Complete and Reverted are the final phases.
	Complete
	Reverted
)

var phaseNames = [...]string{"idle", "trying", "shifting", "emptying", "complete", "reverted"}

// String returns the phase's name in the operator API.
func (p Phase) String() string { return phaseNames[p] }

// IsActive reports whether a rollout is under way.
func (p Phase) IsActive() bool { return p == Canary || p == Shifting || p == Draining }

// Event moves a rollout to its next phase.
type Event uint8

// The events; NoEvent changes nothing.
const (
	NoEvent Event = iota
	Started
	// WavePassed: a wave of a staged change passed and another one follows.
	WavePassed
	// Passed: the change was found fit.
	Passed
	// Shifted: the change has all traffic.
	Shifted
	// Drained: no request runs at the old version any more.
	Drained
	// Failed: the change does harm. TimedOut: the rollout's duration ends without
	// a verdict. Superseded: an ordinary change of the same item was made. Halted:
	// the operator stopped it.
	Failed
	TimedOut
	Superseded
	Halted
)

// abortEvents are the events that revert any active rollout.
var abortEvents = map[Event]Phase{Failed: Reverted, TimedOut: Reverted, Superseded: Reverted, Halted: Reverted}

// transitions holds by phase and event the next phase; other events are refused.
var transitions = map[Phase]map[Event]Phase{
	Idle:     {Started: Canary},
	Canary:   withAborts(map[Event]Phase{WavePassed: Canary, Passed: Shifting}),
	Shifting: withAborts(map[Event]Phase{Shifted: Draining}),
	Draining: withAborts(map[Event]Phase{Drained: Complete}),
	Complete: {Started: Canary},
	Reverted: {Started: Canary},
}

func withAborts(events map[Event]Phase) map[Event]Phase {
	for event, phase := range abortEvents {
		events[event] = phase
	}
	return events
}

// State is the state of one subject's rollout, stored on a majority of the members.
type State struct {
	// Subject is a service, or the name of a staged change with StagedPrefix.
	Subject string `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Phase   Phase  `cbor:"3,keyasint"`
	// CurrentVersion is the version in force, TargetVersion the one of the last
	// start command.
	CurrentVersion string         `cbor:"4,keyasint,omitempty"`
	TargetVersion  string         `cbor:"5,keyasint,omitempty"`
	Duration       clock.Duration `cbor:"6,keyasint,omitempty"`
	// Elapsed is the part of Duration that had passed when this state was written.
	Elapsed clock.Duration `cbor:"7,keyasint,omitempty"`
	Reason  string         `cbor:"8,keyasint,omitempty"`
	// Term and Count order the states: by the leader's term, then by its own count.
	Term  uint64 `cbor:"9,keyasint"`
	Count uint64 `cbor:"10,keyasint"`
	// Items and Waves belong to a staged change: the changed items of the
	// configuration, and the nodes of each wave.
	Items []config.Item `cbor:"11,keyasint,omitempty"`
	Waves [][]string    `cbor:"12,keyasint,omitempty"`
	Wave  int           `cbor:"13,keyasint,omitempty"`
}

// NewerThan reports whether this state was written after the other.
func (s State) NewerThan(other State) bool {
	return s.Term > other.Term || s.Term == other.Term && s.Count > other.Count
}

// Apply returns the state after an event, and whether the event is allowed in the
// current phase.
func (s State) Apply(event Event, reason string, elapsed time.Duration) (next State, ok bool) {
	phase, found := transitions[s.Phase][event]
	if !found {
		return s, false
	}
	next = s
	next.Phase, next.Reason, next.Elapsed = phase, reason, clock.Duration(elapsed)
	next.Count++
	if event == WavePassed {
		next.Wave++
	}
	if phase == Complete && len(s.Items) == 0 {
		next.CurrentVersion = s.TargetVersion
	}
	return next, true
}

// Start returns the state after a start command for the subject, and whether the
// command is allowed in the current phase.
func (s State) Start(target string, duration clock.Duration) (next State, ok bool) {
	if next, ok = s.Apply(Started, "", 0); !ok {
		return s, false
	}
	next.Number++
	next.TargetVersion, next.Duration, next.Wave = target, duration, 0
	return next, true
}

// Status returns the state's name for operators: active, complete or reverted.
func (s State) Status() string {
	if s.Phase.IsActive() {
		return "active"
	}
	return s.Phase.String()
}
