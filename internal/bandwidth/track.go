// Package bandwidth keeps distance between the bytes of bulk replies on a
// machine's link, so that short inquiries and replies never queue behind them.
package bandwidth

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// Track is one direction of a machine's link. Short traffic is only noted; bulk
// traffic waits for its turn, so that what the link holds at once stays small.
type Track struct {
	clock clock.Clock
	// perByte is how long one byte keeps the link busy; 0 if the link is wide.
	perByte float64
	lock    sync.Mutex
	// free is when all that was let onto the track has passed.
	free clock.Instant
	// short is the short traffic of late, in bytes that fade, as of shortAt.
	short   float64
	shortAt clock.Instant
}

const (
	// wideLink is from where on a link needs no pacing.
	wideLink = 200.0
	// bulkShare is the part of the link that bulk may take.
	bulkShare = 0.9
	// ahead is how much of the link's time may be taken at once: as late as an alarm may
	// ring, or the link stands idle between two pieces.
	ahead = clock.Instant(8 * time.Millisecond)
	// shortFade is how fast short traffic fades from memory, shortMost the part of
	// the link that it is thought to take at most.
	shortFade = float64(time.Second)
	shortMost = 0.8
	// Piece is the most that should be let onto the track at once.
	Piece = 2 << 10
)

// NewTrack makes the track of a link of so many Mbit/s; 0 means unknown.
//
// Example:
//
//	out := bandwidth.NewTrack(set.Platform.Limits.LinkMbps, clock)
func NewTrack(mbps float64, clock clock.Clock) *Track {
	t := &Track{clock: clock}
	if mbps > 0 && mbps < wideLink {
		t.perByte = 8e3 / mbps
	}
	return t
}

// Note counts short traffic, which does not wait.
//
// Example:
//
//	out.Note(len(reply.Body))
func (t *Track) Note(bytes int) {
	if t == nil || t.perByte == 0 {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.hold(float64(bytes))
	t.fade()
	t.short += float64(bytes)
}

func (t *Track) fade() {
	now := t.clock.Monotonic()
	t.short *= math.Exp(-float64(now-t.shortAt) / shortFade)
	t.shortAt = now
}

// bulkTime is how long so much bulk takes on what the short traffic of late leaves
// of the link.
func (t *Track) bulkTime(bytes int64) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.fade()
	short := min(shortMost, t.short*t.perByte/shortFade)
	return time.Duration(float64(bytes) * t.perByte / (bulkShare * (1 - short)))
}

// IsNarrow tells whether bulk has to wait for its turn on the track.
//
// Example:
//
//	if in.IsNarrow() { passOnAsItComes() }
func (t *Track) IsNarrow() bool { return t != nil && t.perByte > 0 }

// Pass lets a piece of bulk onto the track once there is room for it.
//
// Example:
//
//	in.Pass(bandwidth.Piece)
func (t *Track) Pass(bytes int) {
	if wait := t.take(float64(bytes)/bulkShare) - ahead; wait > 0 {
		t.clock.Sleep(time.Duration(wait))
	}
}

// IsFree tells whether all that was let onto the track has passed; a wide link is
// always free.
//
// Example:
//
//	if !out.IsFree() { waitWithCopies() }
func (t *Track) IsFree() bool {
	if t == nil || t.perByte == 0 {
		return true
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.free <= t.clock.Monotonic()
}

// Burst counts bulk that is on its way already, and waits until it has passed.
//
// Example:
//
//	in.Burst(min(window, length))
func (t *Track) Burst(bytes int) {
	if wait := t.take(float64(bytes)) + clock.Instant(float64(bytes)*t.perByte); wait > 0 {
		t.clock.Sleep(time.Duration(wait))
	}
}

func (t *Track) take(bytes float64) (wait clock.Instant) {
	if t == nil || t.perByte == 0 {
		return 0
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.hold(bytes)
}

// hold takes the link for so many bytes; the lock is held.
func (t *Track) hold(bytes float64) (wait clock.Instant) {
	now := t.clock.Monotonic()
	start := max(t.free, now)
	t.free = start + clock.Instant(bytes*t.perByte)
	return start - now
}
