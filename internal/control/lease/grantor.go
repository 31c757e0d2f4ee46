// Package lease keeps a duty with one holder at a time. A member of the core
// promises for a span not to let another take the duty; the holder counts its lease
// from the sending of what a majority acknowledged, so that it ends by itself
// before any of these promises does. Times are readings of a steady clock that the
// caller passes in: the package has no clock, network or disk.
package lease

import (
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

// Grantor is a member's side of the lease: to whom it has promised the duty, and
// until when. Promises aren't kept on disk; Wait stands in for those that a start
// forgets. The highest term that the member has seen is on its disk, and is passed
// in as held.
type Grantor struct {
	duration timetable.Steady
	// promisedTo is empty while nobody's claim may be granted.
	promisedTo string
	until      timetable.Steady
}

// NewGrantor returns a member that has promised nothing, as in a system that
// never ran before.
func NewGrantor(duration time.Duration) *Grantor {
	return &Grantor{duration: timetable.Steady(duration)}
}

// Wait grants no claim for one span: for after a start, and for a member that is
// new in the view, when promises that it doesn't know of may run.
func (g *Grantor) DenyClaims(now timetable.Steady) {
	g.promisedTo, g.until = "", max(g.until, now+g.duration)
}

// Claim decides on a claim of the duty under a new term, and promises it to the
// claimant if it is granted. A claimant to whom the promise already runs need not
// wait for its end.
func (g *Grantor) Claim(current, claimed membership.Term, now timetable.Steady) bool {
	if claimed.Number <= current.Number {
		return false
	}
	if now < g.until && g.promisedTo != claimed.Holder {
		return false
	}
	g.promise(claimed.Holder, now)
	return true
}

// Renew extends the promise to the holder of the term that the member holds. Only
// a holder whose claim a majority granted renews, so that no promise to a holder of
// a lower term can matter any longer.
func (g *Grantor) Renew(current, term membership.Term, now timetable.Steady) bool {
	if current != term {
		return false
	}
	g.promise(term.Holder, now)
	return true
}

// Release ends the promise to a holder that has given its lease up. It doesn't
// touch a promise under another term.
func (g *Grantor) Release(current, term membership.Term) {
	if current == term && g.promisedTo == term.Holder {
		g.promisedTo, g.until = "", 0
	}
}

func (g *Grantor) promise(holder string, now timetable.Steady) {
	g.promisedTo, g.until = holder, max(g.until, now+g.duration)
}
