package listing

import (
	"time"

	"ploverhitch/internal/clock"
)

// windowSpan is the span in which the platform counts calls.
const windowSpan = clock.Instant(time.Second)

// Window spreads calls so that no second sees more of them than it allows. The zones are
// read side by side, so the calls of a reading would come all at once.
type Window struct {
	// reserved are when the calls of the last second were made, or are to be.
	reserved []clock.Instant
}

// Reserve takes the next place for a call, and tells after how long it comes. perSecond
// is how many calls a second may see; 0 is no bound.
//
// Example:
//
//	wait := window.Reserve(clock.Monotonic(), 30)
func (w *Window) Reserve(now clock.Instant, perSecond float64) (wait time.Duration) {
	for len(w.reserved) > 0 && w.reserved[0]+windowSpan <= now {
		w.reserved = w.reserved[1:]
	}
	at, limit := now, max(1, int(perSecond))
	if perSecond > 0 && len(w.reserved) >= limit {
		at = max(now, w.reserved[len(w.reserved)-limit]+windowSpan)
	}
	w.reserved = append(w.reserved, at)
	return time.Duration(at - now)
}
