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
type Steady time.Duration

// Clock tells the time. The real one is Real; tests step a Hand.
//
// Example:
//
//	began := clock.Steady()
//	isLate := clock.Steady()-began > clock.Steady(time.Second)
type Clock interface {
	Steady() Steady
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

func (c realClock) Steady() Steady        { return Steady(time.Since(c.start)) }
func (c realClock) Wall() time.Time       { return time.Now() }
func (c realClock) Sleep(d time.Duration) { time.Sleep(d) }

// Hand is a clock moved by hand, for tests; Sleep moves it.
//
// Example:
//
//	hand := &clock.Hand{}
//	hand.Sleep(time.Second) // hand.Steady() is now one second
type Hand struct{ Now time.Duration }

// Steady reads the hand.
//
// Example:
//
//	began := hand.Steady()
func (h *Hand) Steady() Steady { return Steady(h.Now) }

// Wall reads the hand as a time of day.
//
// Example:
//
//	now := hand.Wall()
func (h *Hand) Wall() time.Time { return time.Unix(1_000_000, 0).Add(h.Now) }

// Sleep moves the hand forward.
//
// Example:
//
//	hand.Sleep(time.Second)
func (h *Hand) Sleep(d time.Duration) { h.Now += d }

// Span is a length of time written as text: a number and its unit, ms, s or h.
type Span time.Duration

// ParseSpan reads a span from its text.
//
// Example:
//
//	span, err := clock.ParseSpan("1.5s") // 1500 ms
func ParseSpan(text string) (Span, error) {
	units := []struct {
		suffix string
		unit   time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}}
	for _, u := range units {
		if number, ok := strings.CutSuffix(text, u.suffix); ok {
			value, err := strconv.ParseFloat(number, 64)
			if err != nil || value < 0 || value > 1e12 {
				break
			}
			return Span(value * float64(u.unit)), nil
		}
	}
	return 0, errors.NotValidf("span %q (want a number and ms, s, m or h)", text)
}

// Std returns the span as the standard library's duration.
//
// Example:
//
//	time.Sleep(span.Std())
func (s Span) Std() time.Duration { return time.Duration(s) }

// UnmarshalText reads a span in JSON or YAML.
//
// Example:
//
//	err := span.UnmarshalText([]byte("250ms"))
func (s *Span) UnmarshalText(text []byte) error {
	span, err := ParseSpan(string(text))
	if err == nil {
		*s = span
	}
	return err
}

// MarshalText writes the span in milliseconds.
//
// Example:
//
//	text, err := span.MarshalText() // "250ms"
func (s Span) MarshalText() ([]byte, error) {
	ms := float64(s) / float64(time.Millisecond)
	return []byte(strconv.FormatFloat(ms, 'f', -1, 64) + "ms"), nil
}
