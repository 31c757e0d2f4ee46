package listing

import (
	"time"

	"ploverhitch/internal/clock"
)

// windowLength is the time over which the platform counts calls.
const windowLength = clock.Instant(time.Second)

// maxCallsPerSecond is the largest limit that a Window applies.
const maxCallsPerSecond = 1e9

// Window is a sliding-window rate limiter for calls. The zones are read concurrently, so
// without it the calls of a read would all be made at once.
type Window struct {
	// callTimes are the times of the calls of the last second, and of future calls.
	callTimes []clock.Instant
}

// Reserve reserves the next time for a call and returns how long to wait until then.
// perSecond is the largest number of calls in any second; 0 means no limit.
func (w *Window) Reserve(now clock.Instant, perSecond float64) (wait time.Duration) {
	for len(w.callTimes) > 0 && w.callTimes[0]+windowLength <= now {
		w.callTimes = w.callTimes[1:]
	}
	callTime, limit := now, int(min(max(1, perSecond), maxCallsPerSecond))
	if perSecond > 0 && len(w.callTimes) >= limit {
		callTime = max(now, w.callTimes[len(w.callTimes)-limit]+windowLength)
	}
	w.callTimes = append(w.callTimes, callTime)
	return time.Duration(callTime - now)
}
