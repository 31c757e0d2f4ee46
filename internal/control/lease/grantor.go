// Package lease implements the leader lease, which has at most one holder at a time.
// A member of the control plane promises for the lease duration not to grant the
// lease to another node. The holder counts its lease from the time at which it sent
// the requests that a majority acknowledged, so that the lease expires before any of
// these promises does. Times are readings of a monotonic clock that the caller passes
// in: the package uses no clock, network or disk.
package lease

import (
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

// Grantor is a member's side of the lease: the holder to which it has promised the
// lease, and until when. Promises aren't persisted; after a start, DenyClaims covers
// those that were lost. The member persists the highest term that it has seen, and
// passes it in as current.
type Grantor struct {
	duration clock.Instant
	// promisedTo is empty while no claim may be granted before until.
	promisedTo string
	until      clock.Instant
}

// NewGrantor returns a grantor without promises, as in a system that has never run
// before.
func NewGrantor(duration time.Duration) *Grantor {
	return &Grantor{duration: clock.Instant(duration)}
}

// DenyClaims denies all claims for one lease duration. It is called after a start,
// and by a member that is new in the view, when promises that the member doesn't know
// of may still be valid.
func (g *Grantor) DenyClaims(now clock.Instant) {
	g.promisedTo, g.until = "", max(g.until, now+g.duration)
}

// Claim decides on a claim of the lease under a new term, and promises the lease to
// the claimant if it grants the claim. A claimant that already has the promise need
// not wait until it expires.
func (g *Grantor) Claim(current, claimed membership.Term, now clock.Instant) bool {
	if claimed.Number <= current.Number {
		return false
	}
	if now < g.until && g.promisedTo != claimed.Holder {
		return false
	}
	g.promise(claimed.Holder, now)
	return true
}

// Renew extends the promise to the holder of the current term. Only a holder whose
// claim a majority granted renews, so a promise to a holder of a lower term is no
// longer relevant.
func (g *Grantor) Renew(current, term membership.Term, now clock.Instant) bool {
	if current != term {
		return false
	}
	g.promise(term.Holder, now)
	return true
}

// Release ends the promise to a holder that has given up its lease. It doesn't
// affect a promise under another term.
func (g *Grantor) Release(current, term membership.Term) {
	if current == term && g.promisedTo == term.Holder {
		g.promisedTo, g.until = "", 0
	}
}

func (g *Grantor) promise(holder string, now clock.Instant) {
	g.promisedTo, g.until = holder, max(g.until, now+g.duration)
}
