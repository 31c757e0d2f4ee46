package listing

import (
	"time"

	"ploverhitch/internal/timetable"
)

const (
	// HolderShare is the part of the platform's rate that the holder of the duty takes
	// at most; firstShare, what is left, is for the first that reads in its stead, beside
	// a holder that is only slow, and LaterShare for all others that read.
	HolderShare = 0.6
	firstShare  = 0.4
	LaterShare  = 0.2
	// leastRest is the least time between two readings.
	leastRest = 50 * time.Millisecond
	// PageDue is within which span of a call or of another page a page is due. A call
	// beside one that hangs comes earlier.
	PageDue = 300 * time.Millisecond
	// ProgressPeriod is how often a member tells at most that its reading goes on.
	ProgressPeriod = 150 * time.Millisecond
)

// ShareOf is the part of the platform's rate that a member of a rank may take.
//
// Example:
//
//	rate := settings.RatePerS * listing.ShareOf(listing.Rank(view, holder, self))
func ShareOf(rank int) float64 {
	switch {
	case rank < 0:
		return HolderShare
	case rank == 0:
		return firstShare
	default:
		return LaterShare
	}
}

// Pace is how often a member reads the list.
type Pace struct {
	// Period is how far the beginnings of two readings lie apart at least.
	Period time.Duration
	// Rate is how many calls a second the member may make; 0 if there is no bound.
	Rate float64
}

// Next is when the reading after one of so many calls begins. The calls of a reading
// come in a row, so the rate is kept from one beginning to the next.
//
// Example:
//
//	due := listing.Pace{Period: 700 * time.Millisecond, Rate: 25}.Next(began, ended, calls)
func (p Pace) Next(began, ended timetable.Steady, calls int) timetable.Steady {
	apart := p.Period
	if p.Rate > 0 {
		apart = max(apart, time.Duration(float64(calls)/p.Rate*float64(time.Second)))
	}
	return max(began+timetable.Steady(apart), ended+timetable.Steady(leastRest))
}
