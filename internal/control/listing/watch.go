package listing

import (
	"slices"
	"time"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

const (
	// margin is how long after a page was due the first member in the order begins to
	// read, and step how much longer each member after it waits.
	margin = 150 * time.Millisecond
	step   = 300 * time.Millisecond
	// oldest is how old the newest whole reading may be: pages may come in time and
	// the whole still take too long, where the reader's processor is short.
	oldest = 2 * time.Second
	// grace is how long after a watch began the first page is due.
	grace = 1500 * time.Millisecond
)

// Watch keeps when each member's next page of the list is due.
type Watch struct {
	began timetable.Steady
	due   map[string]timetable.Steady
	// heard is when each member told of a page last.
	heard map[string]timetable.Steady
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
	return &Watch{began: now, heard: map[string]timetable.Steady{}, due: map[string]timetable.Steady{}}
}

// Hear notes that a member has read a page, and within which span it is to read the
// next.
//
// Example:
//
//	watch.Hear("10.0.0.2:7200", 800*time.Millisecond, clock.Steady())
func (w *Watch) Hear(member string, next time.Duration, now timetable.Steady) {
	// What was told earlier may come later, over a line that was made anew.
	w.due[member], w.heard[member] = max(w.due[member], now+timetable.Steady(next)), now
}

// Read notes a whole reading, which began so long ago.
//
// Example:
//
//	watch.Read(180*time.Millisecond, clock.Steady())
func (w *Watch) Read(age time.Duration, now timetable.Steady) {
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

// Silence is for how long nothing was heard of the readings of others.
//
// Example:
//
//	isAlone := watch.Silence(self, clock.Steady()) > 4*time.Second
func (w *Watch) Silence(self string, now timetable.Steady) time.Duration {
	latest := w.began
	for member, at := range w.heard {
		if member != self {
			latest = max(latest, at)
		}
	}
	return time.Duration(now - latest)
}

// Rank is a member's place in the order of those that read in the holder's stead, or
// -1 if it has none.
//
// Example:
//
//	isFirst := listing.Rank(view, holder, self) == 0
func Rank(view membership.View, holder, member string) int {
	if holder == "" || member == holder || !view.Contains(member) {
		return -1
	}
	return slices.Index(membership.RingSuccessors(view.Members, holder, len(view.Members)), member)
}

// Share is the part of the platform's rate with which a member is to read the list now in
// the holder's stead, 0 if it is not to. It reads where nobody else has read a page in
// time, nor has anybody before it in the order begun to: then nobody else uses the rate.
// The first in the order also reads beside a holder whose pages come in time, while the
// newest whole reading is too old.
//
// Example:
//
//	if share := watch.Share(view, holder, self, clock.Steady()); share > 0 { read(share) }
func (w *Watch) Share(view membership.View, holder, self string, now timetable.Steady) float64 {
	rank := Rank(view, holder, self)
	if rank < 0 {
		return 0
	}
	patience := timetable.Steady(margin + time.Duration(rank)*step)
	switch {
	case now > w.dueFromOthers(self)+patience:
		return HolderShare
	case rank == 0 && w.isRead && now > w.readAt+timetable.Steady(oldest)+patience:
		return besideShare
	default:
		return 0
	}
}

// dueFromOthers is by when somebody other than the member was to read a page.
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
