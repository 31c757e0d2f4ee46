package listing

import (
	"slices"
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

const (
	// margin is how long after a reading was due the first member in the order begins
	// to read, and step how much longer each member after it waits.
	margin = 150 * time.Millisecond
	step   = 300 * time.Millisecond
	// grace is how long after a watch began the first reading is due.
	grace = 1500 * time.Millisecond
)

// Watch keeps when each member's next complete reading of the list is due.
type Watch struct {
	began timetable.Steady
	due   map[string]timetable.Steady
	// heard is when a reading of any member was heard of last.
	heard timetable.Steady
	// readAt is when the newest complete reading that is known of began.
	readAt timetable.Steady
	isRead bool
}

// NewWatch makes a watch that begins at the given time.
//
// Example:
//
//	watch := listing.NewWatch(clock.Steady())
func NewWatch(now timetable.Steady) *Watch {
	return &Watch{began: now, heard: now, due: map[string]timetable.Steady{}}
}

// Hear notes a complete reading of a member: how long ago it began, and within which
// span the member expects to complete its next.
//
// Example:
//
//	watch.Hear("10.0.0.2:7200", 180*time.Millisecond, 800*time.Millisecond, clock.Steady())
func (w *Watch) Hear(member string, age, next time.Duration, now timetable.Steady) {
	w.due[member], w.heard = now+timetable.Steady(next), now
	if began := now - timetable.Steady(age); !w.isRead || began > w.readAt {
		w.readAt, w.isRead = began, true
	}
}

// Age is how old the newest complete reading is, counted from when it began; ok is
// false before the first.
//
// Example:
//
//	age, ok := watch.Age(clock.Steady())
func (w *Watch) Age(now timetable.Steady) (age time.Duration, ok bool) {
	return time.Duration(now - w.readAt), w.isRead
}

// Silence is for how long no complete reading of any other member was heard of.
//
// Example:
//
//	isAlone := watch.Silence(clock.Steady()) > 4*time.Second
func (w *Watch) Silence(now timetable.Steady) time.Duration { return time.Duration(now - w.heard) }

// Rank is a member's place in the order of those that read in the holder's stead, or
// -1 if it has none.
//
// Example:
//
//	isFirst := listing.Rank(view, holder, self) == 0
func Rank(view membership.View, holder, member string) int {
	if holder == "" || member == holder || !view.Has(member) {
		return -1
	}
	return slices.Index(membership.Watchers(view.Members, holder, len(view.Members)), member)
}

// IsOverdue tells whether a member is to read the list now: nobody else has completed
// a reading in time, nor has anybody before it in the order begun to.
//
// Example:
//
//	if watch.IsOverdue(view, holder, self, clock.Steady()) { read() }
func (w *Watch) IsOverdue(view membership.View, holder, self string, now timetable.Steady) bool {
	rank := Rank(view, holder, self)
	if rank < 0 {
		return false
	}
	return now > w.dueFromOthers(self)+timetable.Steady(margin+time.Duration(rank)*step)
}

// dueFromOthers is by when somebody other than the member was to complete a reading.
func (w *Watch) dueFromOthers(self string) (latest timetable.Steady) {
	isHeard := false
	for member, due := range w.due {
		if member != self && (!isHeard || due > latest) {
			latest, isHeard = due, true
		}
	}
	if !isHeard {
		return w.began + timetable.Steady(grace)
	}
	return latest
}
