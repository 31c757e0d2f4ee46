package listing

import (
	"time"

	"ploverhitch/internal/timetable"
)

// The shares of the platform's rate and the spans in which readings go on.
const (
	// HolderShare is the part of the platform's rate that the holder of the duty takes
	// at most, or who reads where nobody else does. What is left, besideShare, is for one
	// that reads beside a holder, and AloneShare for one that may have others beside it
	// of which it does not hear.
	LeaderShare     = 0.6
	concurrentShare = 0.4
	IsolatedShare   = 0.2
	// burst is how many times the calls that its rate allows a second may see.
	burstFactor = 4.0 / 3
	// leastRest is the least time between two readings.
	minPause = 50 * time.Millisecond
	// PageDue is within which span of a call or of another page a page is due. A call
	// beside one that hangs comes earlier.
	PageInterval = 300 * time.Millisecond
	// ProgressPeriod is how often a member tells at most that its reading goes on.
	ProgressInterval = 150 * time.Millisecond
)

// Pace is how often a member reads the list.
type Pace struct {
	// Period is how far the beginnings of two readings lie apart at least.
	MinInterval time.Duration
	// Rate is how many calls a second the member may make; 0 if there is no bound.
	Rate float64
}

// Burst is how many calls a second may see: more than the rate for a moment, so that a
// reading need not wait for the end of the second in which the last one was made.
func (p Pace) Burst() float64 { return p.Rate * burstFactor }

// Next is when the reading after one of so many calls begins. The calls of a reading
// come in a row, so the rate is kept from one beginning to the next.
func (p Pace) Next(startedAt, endedAt timetable.Steady, calls int) timetable.Steady {
	interval := p.MinInterval
	if p.Rate > 0 {
		interval = max(interval, time.Duration(float64(calls)/p.Rate*float64(time.Second)))
	}
	return max(startedAt+timetable.Steady(interval), endedAt+timetable.Steady(minPause))
}
