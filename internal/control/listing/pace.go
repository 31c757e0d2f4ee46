package listing

import (
	"time"

	"ploverhitch/internal/clock"
)

// Shares of the platform's rate limit, and intervals of the reads.
const (
	// LeaderShare is the largest share of the platform's rate limit for the leader, or
	// for a member that reads while no other does. concurrentShare, the rest, is for a
	// member that reads concurrently with a leader, and IsolatedShare for one that may
	// not be notified of concurrent reads by others.
	LeaderShare     = 0.6
	concurrentShare = 0.4
	IsolatedShare   = 0.2
	// burstFactor is the largest number of calls in one second, as a multiple of the rate.
	burstFactor = 4.0 / 3
	// minPause is the minimum time between two reads.
	minPause = 50 * time.Millisecond
	// PageInterval is the time after a call or after another page within which a page is
	// due. A second call beside one that hangs is made earlier.
	PageInterval = 300 * time.Millisecond
	// ProgressInterval is the minimum time between two progress reports of a read.
	ProgressInterval = 150 * time.Millisecond
)

// Pace limits how often a member reads the list.
type Pace struct {
	// MinInterval is the minimum time between the starts of two reads.
	MinInterval time.Duration
	// Rate is how many calls per second the member may make; 0 means no limit.
	Rate float64
}

// Burst returns the largest number of calls in one second. It exceeds the rate, so that a
// read need not wait for the end of the second in which the previous one was made.
func (p Pace) Burst() float64 { return p.Rate * burstFactor }

// Next returns when the read that follows one with the given number of calls starts. The
// calls of a read come in quick succession, so the rate is an average from one start to
// the next.
func (p Pace) Next(startedAt, endedAt clock.Instant, calls int) clock.Instant {
	interval := p.MinInterval
	if p.Rate > 0 {
		interval = max(interval, clock.FromFloat(float64(calls)/p.Rate*float64(time.Second)).Std())
	}
	return max(startedAt+clock.Instant(interval), endedAt+clock.Instant(minPause))
}
