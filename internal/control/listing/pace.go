package listing

import (
	"time"

	"ploverhitch/internal/clock"
)

// The shares of the platform's rate and the spans in which readings go on.
const (
	// HolderShare is the part of the platform's rate that the holder of the duty takes
	// at most, or who reads where nobody else does. What is left, besideShare, is for one
	// that reads beside a holder, and AloneShare for one that may have others beside it
	// of which it does not hear.
	HolderShare = 0.6
	besideShare = 0.4
	AloneShare  = 0.2
	// burst is how many times the calls that its rate allows a second may see.
	burst = 4.0 / 3
	// leastRest is the least time between two readings.
	leastRest = 50 * time.Millisecond
	// PageDue is within which span of a call or of another page a page is due. A call
	// beside one that hangs comes earlier.
	PageDue = 300 * time.Millisecond
	// ProgressPeriod is how often a member tells at most that its reading goes on.
	ProgressPeriod = 150 * time.Millisecond
)

// Pace is how often a member reads the list.
type Pace struct {
	// Period is how far the beginnings of two readings lie apart at least.
	Period time.Duration
	// Rate is how many calls a second the member may make; 0 if there is no bound.
	Rate float64
}

// Burst is how many calls a second may see: more than the rate for a moment, so that a
// reading need not wait for the end of the second in which the last one was made.
//
// Example:
//
//	wait := window.Reserve(clock.Monotonic(), pace.Burst())
func (p Pace) Burst() float64 { return p.Rate * burst }

// Next is when the reading after one of so many calls begins. The calls of a reading
// come in a row, so the rate is kept from one beginning to the next.
//
// Example:
//
//	due := listing.Pace{Period: 700 * time.Millisecond, Rate: 25}.Next(began, ended, calls)
func (p Pace) Next(began, ended clock.Instant, calls int) clock.Instant {
	apart := p.Period
	if p.Rate > 0 {
		apart = max(apart, time.Duration(float64(calls)/p.Rate*float64(time.Second)))
	}
	return max(began+clock.Instant(apart), ended+clock.Instant(leastRest))
}
