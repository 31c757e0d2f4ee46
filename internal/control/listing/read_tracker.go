package listing

import (
	"slices"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

const (
	// standbyDelay is how long after a page was due the first standby reader starts to
	// read, and rankDelay how much longer each one after it waits.
	standbyDelay = 150 * time.Millisecond
	rankDelay    = 300 * time.Millisecond
	// maxListAge is how old the newest complete list may be: each page may arrive in
	// time and the whole read still take too long, if the reader is short of CPU time.
	maxListAge = 2 * time.Second
	// startupGrace is how long after the start of tracking the first page is due.
	startupGrace = 1500 * time.Millisecond
)

// ReadTracker tracks when each member's next page of the list is due.
type ReadTracker struct {
	startedAt clock.Instant
	pageDueAt map[string]clock.Instant
	// reportedAt is when each member last reported a page.
	reportedAt map[string]clock.Instant
	// listReadAt is when the newest known complete read started.
	listReadAt clock.Instant
	listRead   bool
}

// NewReadTracker returns a tracker that starts at the given time.
func NewReadTracker(now clock.Instant) *ReadTracker {
	return &ReadTracker{startedAt: now, reportedAt: map[string]clock.Instant{}, pageDueAt: map[string]clock.Instant{}}
}

// RecordPage records that a member has read a page, and within which time its next page
// is due.
func (t *ReadTracker) RecordPage(member string, next time.Duration, now clock.Instant) {
	// Reports may arrive out of order, over a connection that was established again.
	t.pageDueAt[member], t.reportedAt[member] = max(t.pageDueAt[member], now+clock.Instant(next)), now
}

// RecordList records a complete read, which started the given time ago.
func (t *ReadTracker) RecordList(age time.Duration, now clock.Instant) {
	if startedAt := now - clock.Instant(age); !t.listRead || startedAt > t.listReadAt {
		t.listReadAt, t.listRead = startedAt, true
	}
}

// Age returns the time since the start of the newest complete read; ok is false before
// the first one.
func (t *ReadTracker) Age(now clock.Instant) (age time.Duration, ok bool) {
	return time.Duration(now - t.listReadAt), t.listRead
}

// SinceOtherReport returns the time since another member last reported a page.
func (t *ReadTracker) SinceOtherReport(self string, now clock.Instant) time.Duration {
	latest := t.startedAt
	for member, reportedAt := range t.reportedAt {
		if member != self {
			latest = max(latest, reportedAt)
		}
	}
	return time.Duration(now - latest)
}

// StandbyRank returns a member's position among the standby readers, or -1 if it is none.
func StandbyRank(view membership.View, leader, member string) int {
	if leader == "" || member == leader || !view.Contains(member) {
		return -1
	}
	return slices.Index(membership.RingSuccessors(view.Members, leader, len(view.Members)), member)
}

// StandbyShare returns the share of the platform's rate limit with which a member now reads
// the list in place of the leader, or 0 if it must not read. It reads if no other member has
// read a page in time and none with a lower rank has started to read, as then no other
// member uses the rate limit. The standby reader with rank 0 also reads concurrently with a
// leader whose pages arrive in time, while the newest complete list is too old.
func (t *ReadTracker) StandbyShare(view membership.View, leader, self string, now clock.Instant) float64 {
	rank := StandbyRank(view, leader, self)
	if rank < 0 {
		return 0
	}
	wait := clock.Instant(standbyDelay + time.Duration(rank)*rankDelay)
	switch {
	case now > t.othersDueAt(self)+wait:
		return LeaderShare
	case rank == 0 && t.listRead && now > t.listReadAt+clock.Instant(maxListAge)+wait:
		return concurrentShare
	default:
		return 0
	}
}

// othersDueAt returns the latest time at which a page from another member is due.
func (t *ReadTracker) othersDueAt(self string) (latest clock.Instant) {
	reported := false
	for member, due := range t.pageDueAt {
		if member != self && (!reported || due > latest) {
			latest, reported = due, true
		}
	}
	if !reported {
		return t.startedAt + clock.Instant(startupGrace)
	}
	return latest
}
