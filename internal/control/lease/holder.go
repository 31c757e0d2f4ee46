package lease

import (
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

// driftDivisor sets the margin for clocks that run at different rates: the holder's
// lease is shorter than the members' promises by this fraction.
const driftDivisor = 20

// Round numbers the rounds of requests for the lease.
type Round uint64

// Holder is the holder's side of the lease. A claim is its first round, each renewal
// another. The lease is valid for one duration after the sending of the newest round
// that a majority of the view has acknowledged.
type Holder struct {
	duration clock.Instant
	term     uint64
	// endedTerm is the highest term that was given up.
	endedTerm uint64
	until     clock.Instant
	lastRound Round
	rounds    map[Round]*round
}

type round struct {
	sentAt       clock.Instant
	view         membership.View
	acknowledged map[string]bool
}

// NewHolder returns a holder without a lease. The duration is that of the grantors.
func NewHolder(duration time.Duration) *Holder {
	shortened := duration - duration/driftDivisor
	return &Holder{duration: clock.Instant(shortened), rounds: map[Round]*round{}}
}

// Start starts a round of requests to the members of the view; it must be called
// before the first request is sent. A round of another term ends the previous lease.
// For a term that was given up Start returns 0, as members may receive the release
// after the request.
func (h *Holder) Start(term uint64, view membership.View, now clock.Instant) Round {
	if term <= h.endedTerm {
		return 0
	}
	if term != h.term {
		h.End()
		h.term = term
	}
	for number, earlier := range h.rounds {
		if earlier.sentAt+h.duration <= now {
			delete(h.rounds, number)
		}
	}
	h.lastRound++
	h.rounds[h.lastRound] = &round{sentAt: now, view: view, acknowledged: map[string]bool{}}
	return h.lastRound
}

// Acknowledge records a member's acknowledgement of a round and reports whether a
// majority has acknowledged it.
func (h *Holder) Acknowledge(number Round, member string) bool {
	r := h.rounds[number]
	if r == nil || !r.view.Contains(member) {
		return false
	}
	r.acknowledged[member] = true
	if len(r.acknowledged) < r.view.Majority() {
		return false
	}
	h.until = max(h.until, r.sentAt+h.duration)
	return true
}

// Remaining returns how much longer the lease of the term is valid, or 0 if it isn't.
func (h *Holder) Remaining(term uint64, now clock.Instant) time.Duration {
	if term == 0 || term != h.term || now >= h.until {
		return 0
	}
	return time.Duration(h.until - now)
}

// End gives up the lease and its term; later acknowledgements have no effect.
func (h *Holder) End() {
	h.endedTerm = max(h.endedTerm, h.term)
	h.term, h.until = 0, 0
	clear(h.rounds)
}
