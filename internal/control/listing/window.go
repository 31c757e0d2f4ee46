package listing

import (
	"time"

	"ploverhitch/internal/timetable"
)

// windowSpan is the span in which the platform counts calls.
const windowLength = timetable.Steady(time.Second)

// Window spreads calls so that no second sees more of them than it allows. The zones are
// read side by side, so the calls of a reading would come all at once.
type Window struct {
	// reserved are when the calls of the last second were made, or are to be.
	callTimes []timetable.Steady
}

// Reserve takes the next place for a call, and tells after how long it comes. perSecond
// is how many calls a second may see; 0 is no bound.
func (w *Window) Reserve(now timetable.Steady, perSecond float64) (wait time.Duration) {
	for len(w.callTimes) > 0 && w.callTimes[0]+windowLength <= now {
		w.callTimes = w.callTimes[1:]
	}
	callTime, limit := now, max(1, int(perSecond))
	if perSecond > 0 && len(w.callTimes) >= limit {
		callTime = max(now, w.callTimes[len(w.callTimes)-limit]+windowLength)
	}
	w.callTimes = append(w.callTimes, callTime)
	return time.Duration(callTime - now)
}
