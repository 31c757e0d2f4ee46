// Package bandwidth paces bulk responses on a machine's network link, so that short
// requests and responses do not queue behind them.
package bandwidth

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// Pacer paces one direction of a machine's network link. Short traffic is only
// counted. Bulk traffic waits until the link has room, so that the link's queue stays
// short.
type Pacer struct {
	clock clock.Clock
	// perByte is how many nanoseconds one byte occupies the link; 0 if the link is not
	// paced.
	perByte float64
	lock    sync.Mutex
	// freeAt is when the link has carried all bytes reserved so far.
	freeAt clock.Instant
	// recentShort is the recent short traffic in bytes, with exponential decay, as of
	// decayedAt.
	recentShort float64
	decayedAt   clock.Instant
}

const (
	// unpacedMbps is the rate from which a link needs no pacing.
	unpacedMbps = 200.0
	// minMbps is the lowest rate that is paced; a lower one is treated as this one.
	minMbps = 0.01
	// bulkShare is the share of the link that bulk traffic may use.
	bulkShare = 0.9
	// maxBacklog is how much of the link's time may be reserved ahead. It covers the
	// delay with which a timer may fire; otherwise the link is idle between two chunks.
	maxBacklog = clock.Instant(8 * time.Millisecond)
	// decayTime is the time constant in nanoseconds with which counted short traffic
	// decays. maxShortShare is the maximum share of the link assumed for it.
	decayTime     = float64(time.Second)
	maxShortShare = 0.8
	// ChunkBytes is the maximum number of bulk bytes that callers should pass to
	// WaitBulk at once.
	ChunkBytes = 2 << 10
)

// NewPacer returns a pacer for a link with the given rate in Mbit/s. A rate of 0 is
// unknown, and the link is not paced.
func NewPacer(mbps float64, clock clock.Clock) *Pacer {
	p := &Pacer{clock: clock}
	if mbps > 0 && mbps < unpacedMbps {
		p.perByte = 8e3 / max(mbps, minMbps)
	}
	return p
}

// CountShort counts short traffic, which does not wait.
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
	now := p.clock.Monotonic()
	p.recentShort *= math.Exp(-float64(now-p.decayedAt) / decayTime)
	p.decayedAt = now
}

// bulkTime returns how long bulk traffic takes on the share of the link that recent
// short traffic leaves free.
func (p *Pacer) bulkTime(bytes int64) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.decay()
	shortShare := min(maxShortShare, p.recentShort*p.perByte/decayTime)
	return time.Duration(float64(bytes) * p.perByte / (bulkShare * (1 - shortShare)))
}

// Paced reports whether bulk traffic has to wait for room on the link.
func (p *Pacer) Paced() bool { return p != nil && p.perByte > 0 }

// WaitBulk reserves the link for a chunk of bulk traffic and waits until there is
// room for it.
func (p *Pacer) WaitBulk(bytes int) {
	if wait := p.reserve(float64(bytes)/bulkShare) - maxBacklog; wait > 0 {
		p.clock.Sleep(time.Duration(wait))
	}
}

// Idle reports whether the link has carried all bytes reserved so far. A link that is
// not paced is always idle.
func (p *Pacer) Idle() bool {
	if p == nil || p.perByte == 0 {
		return true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.freeAt <= p.clock.Monotonic()
}

// WaitBurst counts bulk traffic that is already in flight and waits until the link
// has carried it.
func (p *Pacer) WaitBurst(bytes int) {
	if wait := p.reserve(float64(bytes)) + clock.Instant(float64(bytes)*p.perByte); wait > 0 {
		p.clock.Sleep(time.Duration(wait))
	}
}

func (p *Pacer) reserve(bytes float64) (wait clock.Instant) {
	if p == nil || p.perByte == 0 {
		return 0
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reserveLocked(bytes)
}

// reserveLocked reserves the link for the bytes and returns the wait before they can
// be sent. The caller holds the lock.
func (p *Pacer) reserveLocked(bytes float64) (wait clock.Instant) {
	now := p.clock.Monotonic()
	start := max(p.freeAt, now)
	p.freeAt = start + clock.Instant(bytes*p.perByte)
	return start - now
}
