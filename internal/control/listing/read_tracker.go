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
	standbyDelay = 150 * time.Millisecond
	rankDelay    = 300 * time.Millisecond
	// oldest is how old the newest whole reading may be: pages may come in time and
	// the whole still take too long, where the reader's processor is short.
	maxListAge = 2 * time.Second
	// grace is how long after a watch began the first page is due.
	startupGrace = 1500 * time.Millisecond
)

// Watch keeps when each member's next page of the list is due.
type ReadTracker struct {
	startedAt timetable.Steady
	pageDueAt map[string]timetable.Steady
	// heard is when each member told of a page last.
	reportedAt map[string]timetable.Steady
	// readAt is when the newest complete reading that is known of began.
	listReadAt timetable.Steady
	listRead   bool
}

// NewWatch makes a watch that begins at the given time.
func NewReadTracker(now timetable.Steady) *ReadTracker {
	return &ReadTracker{startedAt: now, reportedAt: map[string]timetable.Steady{}, pageDueAt: map[string]timetable.Steady{}}
}

// Hear notes that a member has read a page, and within which span it is to read the
// next.
func (t *ReadTracker) RecordPage(member string, next time.Duration, now timetable.Steady) {
	// What was told earlier may come later, over a line that was made anew.
	t.pageDueAt[member], t.reportedAt[member] = max(t.pageDueAt[member], now+timetable.Steady(next)), now
}

// Read notes a whole reading, which began so long ago.
func (t *ReadTracker) RecordList(age time.Duration, now timetable.Steady) {
	if startedAt := now - timetable.Steady(age); !t.listRead || startedAt > t.listReadAt {
		t.listReadAt, t.listRead = startedAt, true
	}
}

// Age is how old the newest complete reading is, counted from when it began; ok is
// false before the first.
func (t *ReadTracker) Age(now timetable.Steady) (age time.Duration, ok bool) {
	return time.Duration(now - t.listReadAt), t.listRead
}

// Silence is for how long nothing was heard of the readings of others.
func (t *ReadTracker) SinceOtherReport(self string, now timetable.Steady) time.Duration {
	latest := t.startedAt
	for member, reportedAt := range t.reportedAt {
		if member != self {
			latest = max(latest, reportedAt)
		}
	}
	return time.Duration(now - latest)
}

// Rank is a member's place in the order of those that read in the holder's stead, or
// -1 if it has none.
func StandbyRank(view membership.View, leader, member string) int {
	if leader == "" || member == leader || !view.Has(member) {
		return -1
	}
	return slices.Index(membership.Watchers(view.Members, leader, len(view.Members)), member)
}

// Share is the part of the platform's rate with which a member is to read the list now in
// the holder's stead, 0 if it is not to. It reads where nobody else has read a page in
// time, nor has anybody before it in the order begun to: then nobody else uses the rate.
// The first in the order also reads beside a holder whose pages come in time, while the
// newest whole reading is too old.
func (t *ReadTracker) StandbyShare(view membership.View, leader, self string, now timetable.Steady) float64 {
	rank := StandbyRank(view, leader, self)
	if rank < 0 {
		return 0
	}
	wait := timetable.Steady(standbyDelay + time.Duration(rank)*rankDelay)
	switch {
	case now > t.othersDueAt(self)+wait:
		return LeaderShare
	case rank == 0 && t.listRead && now > t.listReadAt+timetable.Steady(maxListAge)+wait:
		return concurrentShare
	default:
		return 0
	}
}

// dueFromOthers is by when somebody other than the member was to read a page.
func (t *ReadTracker) othersDueAt(self string) (latest timetable.Steady) {
	reported := false
	for member, due := range t.pageDueAt {
		if member != self && (!reported || due > latest) {
			latest, reported = due, true
		}
	}
	if !reported {
		return t.startedAt + timetable.Steady(startupGrace)
	}
	return latest
}
