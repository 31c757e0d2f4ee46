// Package clock provides clocks that tests can replace, a textual duration type,
// and the event loops that owners of mutable state run.
package clock

import (
	"sync/atomic"
	"time"
)

// Instant is a reading of a monotonic clock, counted from an arbitrary start.
type Instant time.Duration

// Clock provides the time. System code uses Real; tests use Manual.
type Clock interface {
	Monotonic() Instant
	// Wall returns the time of day, which may step.
	Wall() time.Time
	// SteadyWall returns the time of day at the start of the process plus the time since then: it
	// doesn't step while the process runs.
	SteadyWall() time.Time
	Sleep(time.Duration)
}

type realClock struct{ start time.Time }

// Real returns the machine's clock.
func Real() Clock { return realClock{start: time.Now()} }

func (c realClock) Monotonic() Instant    { return Instant(time.Since(c.start)) }
func (c realClock) Wall() time.Time       { return time.Now() }
func (c realClock) SteadyWall() time.Time { return c.start.Add(time.Since(c.start)) }
func (c realClock) Sleep(d time.Duration) { time.Sleep(d) }

// Manual is a clock for tests. Only Sleep and assignments to Now advance it. Its methods are
// safe for concurrent use; Now may be accessed directly only while no other goroutine
// uses the clock.
type Manual struct {
	Now time.Duration
	// WallStep is by how much the time of day has stepped.
	WallStep time.Duration
}

// Monotonic returns the time since the start of the clock.
func (m *Manual) Monotonic() Instant { return Instant(atomic.LoadInt64((*int64)(&m.Now))) }

// Wall returns the time of day: that of SteadyWall and WallStep.
func (m *Manual) Wall() time.Time { return m.SteadyWall().Add(m.WallStep) }

// SteadyWall returns a fixed date plus the time since the start of the clock.
func (m *Manual) SteadyWall() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(m.Monotonic()))
}

// Sleep advances the clock by d and returns at once.
func (m *Manual) Sleep(d time.Duration) { atomic.AddInt64((*int64)(&m.Now), int64(d)) }
