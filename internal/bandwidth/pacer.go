// Package bandwidth keeps distance between the bytes of bulk replies on a
// machine's link, so that short inquiries and replies never queue behind them.
package bandwidth

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/timetable"
)

// Track is one direction of a machine's link. Short traffic is only noted; bulk
// traffic waits for its turn, so that what the link holds at once stays small.
type Pacer struct {
	clock timetable.Clock
	// perByte is how long one byte keeps the link busy; 0 if the link is wide.
	perByte float64
	lock    sync.Mutex
	// free is when all that was let onto the track has passed.
	freeAt timetable.Steady
	// short is the short traffic of late, in bytes that fade, as of shortAt.
	recentShort float64
	decayedAt   timetable.Steady
}

const (
	// wideLink is from where on a link needs no pacing.
	unpacedMbps = 200.0
	// bulkShare is the part of the link that bulk may take.
	bulkShare = 0.9
	// ahead is how much of the link's time may be taken at once: as late as an alarm may
	// ring, or the link stands idle between two pieces.
	maxBacklog = timetable.Steady(8 * time.Millisecond)
	// shortFade is how fast short traffic fades from memory, shortMost the part of
	// the link that it is thought to take at most.
	decayTime     = float64(time.Second)
	maxShortShare = 0.8
	// Piece is the most that should be let onto the track at once.
	ChunkBytes = 2 << 10
)

// NewTrack makes the track of a link of so many Mbit/s; 0 means unknown.
//
// Example:
//
//	out := bandwidth.NewTrack(set.Platform.Limits.LinkMbps, clock)
func NewPacer(mbps float64, clock timetable.Clock) *Pacer {
	p := &Pacer{clock: clock}
	if mbps > 0 && mbps < unpacedMbps {
		p.perByte = 8e3 / mbps
	}
	return p
}

// Note counts short traffic, which does not wait.
//
// Example:
//
//	out.Note(len(reply.Body))
func (p *Pacer) CountShort(bytes int) {
	if p == nil || p.perByte == 0 {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reserveLocked(float64(bytes))
	p.decay()
	p.recentShort += float64(bytes)
}

func (p *Pacer) decay() {
	now := p.clock.Steady()
	p.recentShort *= math.Exp(-float64(now-p.decayedAt) / decayTime)
	p.decayedAt = now
}

// bulkTime is how long so much bulk takes on what the short traffic of late leaves
// of the link.
func (p *Pacer) bulkTime(bytes int64) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.decay()
	shortShare := min(maxShortShare, p.recentShort*p.perByte/decayTime)
	return time.Duration(float64(bytes) * p.perByte / (bulkShare * (1 - shortShare)))
}

// IsNarrow tells whether bulk has to wait for its turn on the track.
//
// Example:
//
//	if in.IsNarrow() { passOnAsItComes() }
func (p *Pacer) Paced() bool { return p != nil && p.perByte > 0 }

// Pass lets a piece of bulk onto the track once there is room for it.
//
// Example:
//
//	in.Pass(bandwidth.Piece)
func (p *Pacer) WaitBulk(bytes int) {
	if wait := p.reserve(float64(bytes)/bulkShare) - maxBacklog; wait > 0 {
		p.clock.Sleep(time.Duration(wait))
	}
}

// IsFree tells whether all that was let onto the track has passed; a wide link is
// always free.
//
// Example:
//
//	if !out.IsFree() { waitWithCopies() }
func (p *Pacer) Idle() bool {
	if p == nil || p.perByte == 0 {
		return true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.freeAt <= p.clock.Steady()
}

// Burst counts bulk that is on its way already, and waits until it has passed.
//
// Example:
//
//	in.Burst(min(window, length))
func (p *Pacer) WaitBurst(bytes int) {
	if wait := p.reserve(float64(bytes)) + timetable.Steady(float64(bytes)*p.perByte); wait > 0 {
		p.clock.Sleep(time.Duration(wait))
	}
}

func (p *Pacer) reserve(bytes float64) (wait timetable.Steady) {
	if p == nil || p.perByte == 0 {
		return 0
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reserveLocked(bytes)
}

// hold takes the link for so many bytes; the lock is held.
func (p *Pacer) reserveLocked(bytes float64) (wait timetable.Steady) {
	now := p.clock.Steady()
	start := max(p.freeAt, now)
	p.freeAt = start + timetable.Steady(bytes*p.perByte)
	return start - now
}
