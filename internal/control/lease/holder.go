package lease

import (
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

// driftDivisor sets the margin for clocks that run at different rates: the holder
// counts a span that is shorter by this part than the one that members promise.
const driftDivisor = 20

// Round numbers the rounds of messages in which a holder asks for its lease.
type Round uint64

// Holder is the holder's side of the lease. A claim is its first round, each
// renewal another. The lease is valid until a span after the sending of the newest
// round that a majority of the view acknowledged.
type Holder struct {
	span timetable.Steady
	term uint64
	// ended is the highest term that was given up.
	ended  uint64
	until  timetable.Steady
	last   Round
	rounds map[Round]*round
}

type round struct {
	sent         timetable.Steady
	view         membership.View
	acknowledged map[string]bool
}

// NewHolder returns a holder without a lease. The span is that of the grantors.
//
// Example:
//
//	holder := lease.NewHolder(900 * time.Millisecond)
func NewHolder(span time.Duration) *Holder {
	counted := span - span/driftDivisor
	return &Holder{span: timetable.Steady(counted), rounds: map[Round]*round{}}
}

// Start begins a round at the members of the view; it must be called before the
// first message is sent. A round of another term ends the lease that was. A round of
// a term that was given up wins nothing: members may hear of its end after it.
//
// Example:
//
//	round := holder.Start(term, view, clock.Steady())
func (h *Holder) Start(term uint64, view membership.View, now timetable.Steady) Round {
	if term <= h.ended {
		return 0
	}
	if term != h.term {
		h.End()
		h.term = term
	}
	for number, old := range h.rounds {
		if old.sent+h.span <= now {
			delete(h.rounds, number)
		}
	}
	h.last++
	h.rounds[h.last] = &round{sent: now, view: view, acknowledged: map[string]bool{}}
	return h.last
}

// Acknowledge notes a member's consent to a round, and tells whether a majority has
// consented.
//
// Example:
//
//	isHeld := holder.Acknowledge(round, member)
func (h *Holder) Acknowledge(number Round, member string) bool {
	r := h.rounds[number]
	if r == nil || !r.view.Contains(member) {
		return false
	}
	r.acknowledged[member] = true
	if len(r.acknowledged) < r.view.Majority() {
		return false
	}
	h.until = max(h.until, r.sent+h.span)
	return true
}

// Remaining is how much longer the lease of that term is valid, 0 if it isn't.
//
// Example:
//
//	if holder.Remaining(term, clock.Steady()) == 0 { return }
func (h *Holder) Remaining(term uint64, now timetable.Steady) time.Duration {
	if term == 0 || term != h.term || now >= h.until {
		return 0
	}
	return time.Duration(h.until - now)
}

// End gives the lease up for good; what is acknowledged later counts for nothing.
//
// Example:
//
//	holder.End()
func (h *Holder) End() {
	h.ended = max(h.ended, h.term)
	h.term, h.until = 0, 0
	clear(h.rounds)
}
