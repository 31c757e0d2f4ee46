package control

import (
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// recoveryPhase is a step on the way to a member that votes.
type recoveryPhase string

const (
	phaseServing    recoveryPhase = "serving"
	phaseNoView     recoveryPhase = "looking for a view"
	phaseJoining    recoveryPhase = "asking to join the view"
	phaseWaiting    recoveryPhase = "waiting for earlier vote rounds to end"
	phaseRebuilding recoveryPhase = "reading the state of the members"
)

// RecoveryStatus tells what a node does to become a member that votes, since when, and what
// it still needs.
type RecoveryStatus struct {
	Phase   string `json:"Phase"`
	SinceMs int64  `json:"SinceMs"`
	Detail  string `json:"Detail,omitempty"`
}

// recoveryTracker holds the present phase of the recovery.
type recoveryTracker struct {
	lock   sync.Mutex
	phase  recoveryPhase
	since  clock.Instant
	detail string
}

// enter records a phase. Its time starts anew only if the phase changes.
func (r *recoveryTracker) enter(phase recoveryPhase, detail string, now clock.Instant) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.phase != phase {
		r.phase, r.since = phase, now
	}
	r.detail = detail
}

func (r *recoveryTracker) status(now clock.Instant) RecoveryStatus {
	r.lock.Lock()
	defer r.lock.Unlock()
	return RecoveryStatus{Phase: string(r.phase), SinceMs: time.Duration(now - r.since).Milliseconds(), Detail: r.detail}
}
