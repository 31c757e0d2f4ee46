// Package rollout is the one state machine by which something new is brought in
// under traffic: a service's version, or a staged change of lanes. It has no
// clock, network or disk of its own.
package rollout

import (
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/timetable"
)

// Phase is how far a trial has come. Phases only go forward, until another
// order begins anew.
type Phase uint8

// The phases.
const (
	// Idle: a version is in force and none was ever ordered.
	Idle Phase = iota
	// Trying: what is new gets a small share, or a first wave of nodes.
	Canary
	// Shifting: it was found fit and takes over, step by step.
	Shifting
	// Emptying: it has everything; what runs at the old one ends.
	Draining
	// Complete and Reverted are the ends.
	Complete
	Reverted
)

var phaseNames = [...]string{"idle", "trying", "shifting", "emptying", "complete", "reverted"}

// String names the phase.
//
// Example:
//
//	rollout.Trying.String() // "trying"
func (p Phase) String() string { return phaseNames[p] }

// IsActive tells whether the trial has not ended.
//
// Example:
//
//	if state.Phase.IsActive() { drive(state) }
func (p Phase) IsActive() bool { return p == Canary || p == Shifting || p == Draining }

// Event is what moves a trial on.
type Event uint8

// The events; None moves nothing.
const (
	NoEvent Event = iota
	Started
	// WaveHeld: a wave of a staged change held, and another follows.
	WavePassed
	// Proved: what is new was found fit.
	Passed
	// Shifted: it has everything.
	Shifted
	// Emptied: nothing runs at the old one any more.
	Drained
	// Harmed: it does harm. Lapsed: the term ends without an answer.
	// Superseded: an ordinary change overtook it. Halted: the operator said so.
	Failed
	TimedOut
	Superseded
	Halted
)

var abortEvents = map[Event]Phase{Failed: Reverted, TimedOut: Reverted, Superseded: Reverted, Halted: Reverted}

// table says which phase follows on what; any other event is refused.
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

// State is one subject's trial as a majority keeps it.
type State struct {
	// Subject is a service, or a staged change's own name.
	Subject string `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Phase   Phase  `cbor:"3,keyasint"`
	// InForce is the version in force, Target the one last ordered.
	CurrentVersion string         `cbor:"4,keyasint,omitempty"`
	TargetVersion  string         `cbor:"5,keyasint,omitempty"`
	Duration       timetable.Span `cbor:"6,keyasint,omitempty"`
	// Elapsed is how much of the term was over when this was written.
	Elapsed timetable.Span `cbor:"7,keyasint,omitempty"`
	Reason  string         `cbor:"8,keyasint,omitempty"`
	// Term and Count order the writings: the duty's term, then its own count.
	Term  uint64 `cbor:"9,keyasint"`
	Count uint64 `cbor:"10,keyasint"`
	// Items and Waves belong to a staged change: what it would make of the
	// manifest, and the nodes that it reaches, wave by wave.
	Items []config.Item `cbor:"11,keyasint,omitempty"`
	Waves [][]string    `cbor:"12,keyasint,omitempty"`
	Wave  int           `cbor:"13,keyasint,omitempty"`
}

// Outranks tells whether this writing is newer than the other.
//
// Example:
//
//	if incoming.Outranks(held) { keep(incoming) }
func (s State) NewerThan(other State) bool {
	return s.Term > other.Term || s.Term == other.Term && s.Count > other.Count
}

// Step is the state after an event, and whether the event has its place there.
//
// Example:
//
//	next, isDone := state.Step(rollout.Proved, "", 9*time.Second)
func (s State) Apply(event Event, reason string, elapsed time.Duration) (next State, ok bool) {
	phase, found := transitions[s.Phase][event]
	if !found {
		return s, false
	}
	next = s
	next.Phase, next.Reason, next.Elapsed = phase, reason, timetable.Span(elapsed)
	next.Count++
	if event == WavePassed {
		next.Wave++
	}
	if phase == Complete && len(s.Items) == 0 {
		next.CurrentVersion = s.TargetVersion
	}
	return next, true
}

// Order is the state after an order for the subject.
//
// Example:
//
//	next, isDone := state.Order("v2", timetable.Span(12*time.Second))
func (s State) Start(target string, duration timetable.Span) (next State, ok bool) {
	if next, ok = s.Apply(Started, "", 0); !ok {
		return s, false
	}
	next.Number++
	next.TargetVersion, next.Duration, next.Wave = target, duration, 0
	return next, true
}

// Answer is the state's name for operators: active, complete or reverted.
//
// Example:
//
//	rollout.State{Phase: rollout.Trying}.Answer() // "active"
func (s State) Status() string {
	if s.Phase.IsActive() {
		return "active"
	}
	return s.Phase.String()
}
