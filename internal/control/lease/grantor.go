// Package lease keeps a duty with one holder at a time. A member of the core
// promises for a span not to let another take the duty; the holder counts its lease
// from the sending of what a majority acknowledged, so that it ends by itself
// before any of these promises does. Times are readings of a steady clock that the
// caller passes in: the package has no clock, network or disk.
package lease

import (
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

// Grantor is a member's side of the lease: to whom it has promised the duty, and
// until when. Promises aren't kept on disk; Wait stands in for those that a start
// forgets. The highest term that the member has seen is on its disk, and is passed
// in as held.
type Grantor struct {
	span clock.Instant
	// promisedTo is empty while nobody's claim may be granted.
	promisedTo string
	until      clock.Instant
}

// NewGrantor returns a member that has promised nothing, as in a system that
// never ran before.
//
// Example:
//
//	grantor := lease.NewGrantor(900 * time.Millisecond)
func NewGrantor(span time.Duration) *Grantor {
	return &Grantor{span: clock.Instant(span)}
}

// Wait grants no claim for one span: for after a start, and for a member that is
// new in the view, when promises that it doesn't know of may run.
//
// Example:
//
//	grantor.Wait(clock.Monotonic())
func (g *Grantor) Wait(now clock.Instant) {
	g.promisedTo, g.until = "", max(g.until, now+g.span)
}

// Claim decides on a claim of the duty under a new term, and promises it to the
// claimant if it is granted. A claimant to whom the promise already runs need not
// wait for its end.
//
// Example:
//
//	isGranted := grantor.Claim(held, wanted, clock.Monotonic())
func (g *Grantor) Claim(held, wanted membership.Term, now clock.Instant) bool {
	if wanted.Number <= held.Number {
		return false
	}
	if now < g.until && g.promisedTo != wanted.Holder {
		return false
	}
	g.promise(wanted.Holder, now)
	return true
}

// Renew extends the promise to the holder of the term that the member holds. Only
// a holder whose claim a majority granted renews, so that no promise to a holder of
// a lower term can matter any longer.
//
// Example:
//
//	isRenewed := grantor.Renew(held, term, clock.Monotonic())
func (g *Grantor) Renew(held, term membership.Term, now clock.Instant) bool {
	if held != term {
		return false
	}
	g.promise(term.Holder, now)
	return true
}

// Release ends the promise to a holder that has given its lease up. It doesn't
// touch a promise under another term.
//
// Example:
//
//	grantor.Release(held, term)
func (g *Grantor) Release(held, term membership.Term) {
	if held == term && g.promisedTo == term.Holder {
		g.promisedTo, g.until = "", 0
	}
}

func (g *Grantor) promise(holder string, now clock.Instant) {
	g.promisedTo, g.until = holder, max(g.until, now+g.span)
}
