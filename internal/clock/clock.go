// Package clock holds what the programs know of time: clocks that can be
// exchanged in tests, small types for spans, and the select loop that every
// owner of a table runs.
package clock

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Steady is a reading of a clock that never goes back, counted from an
// arbitrary start.
type Instant time.Duration

// Clock tells the time. The real one is Real; tests step a Hand.
//
// Example:
//
//	began := clock.Steady()
//	isLate := clock.Steady()-began > clock.Steady(time.Second)
type Clock interface {
	Monotonic() Instant
	Wall() time.Time
	Sleep(time.Duration)
}

type realClock struct{ start time.Time }

// Real returns the clock of the machine.
//
// Example:
//
//	clock := clock.Real()
func Real() Clock { return realClock{start: time.Now()} }

func (c realClock) Monotonic() Instant    { return Instant(time.Since(c.start)) }
func (c realClock) Wall() time.Time       { return time.Now() }
func (c realClock) Sleep(d time.Duration) { time.Sleep(d) }

// Hand is a clock moved by hand, for tests; Sleep moves it.
//
// Example:
//
//	hand := &clock.Hand{}
//	hand.Sleep(time.Second) // hand.Steady() is now one second
type Manual struct{ Now time.Duration }

// Steady reads the hand.
//
// Example:
//
//	began := hand.Steady()
func (h *Manual) Monotonic() Instant { return Instant(h.Now) }

// Wall reads the hand as a time of day.
//
// Example:
//
//	now := hand.Wall()
func (h *Manual) Wall() time.Time { return time.Unix(1_000_000, 0).Add(h.Now) }

// Sleep moves the hand forward.
//
// Example:
//
//	hand.Sleep(time.Second)
func (h *Manual) Sleep(d time.Duration) { h.Now += d }

// Span is a length of time written as text: a number and its unit, ms, s or h.
type Duration time.Duration

// ParseSpan reads a span from its text.
//
// Example:
//
//	span, err := clock.ParseSpan("1.5s") // 1500 ms
func ParseDuration(text string) (Duration, error) {
	units := []struct {
		suffix string
		unit   time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}}
	for _, candidate := range units {
		if number, ok := strings.CutSuffix(text, candidate.suffix); ok {
			value, err := strconv.ParseFloat(number, 64)
			if err != nil || value < 0 || value > 1e12 {
				break
			}
			return Duration(value * float64(candidate.unit)), nil
		}
	}
	return 0, errors.NotValidf("span %q (want a number and ms, s, m or h)", text)
}

// Std returns the span as the standard library's duration.
//
// Example:
//
//	time.Sleep(span.Std())
func (s Duration) Std() time.Duration { return time.Duration(s) }

// UnmarshalText reads a span in JSON or YAML.
//
// Example:
//
//	err := span.UnmarshalText([]byte("250ms"))
func (s *Duration) UnmarshalText(text []byte) error {
	duration, err := ParseDuration(string(text))
	if err == nil {
		*s = duration
	}
	return err
}

// MarshalText writes the span in milliseconds.
//
// Example:
//
//	text, err := span.MarshalText() // "250ms"
func (s Duration) MarshalText() ([]byte, error) {
	ms := float64(s) / float64(time.Millisecond)
	return []byte(strconv.FormatFloat(ms, 'f', -1, 64) + "ms"), nil
}
