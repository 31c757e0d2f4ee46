package clock

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration written as text: a number and a unit, ms, s, m or h.
type Duration time.Duration

// MaxDuration is the largest duration that is read: a hundred years. A longer one is held at it, so that the
// sum of a time of day and a few durations does not overflow.
const MaxDuration = Duration(100 * 365 * 24 * time.Hour)

var durationUnits = []struct {
	suffix string
	unit   time.Duration
}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}}

// ParseDuration reads a duration such as "1.5s".
func ParseDuration(text string) (Duration, error) {
	for _, candidate := range durationUnits {
		if number, ok := strings.CutSuffix(text, candidate.suffix); ok {
			if duration, ok := ParseAmount(number, candidate.unit); ok {
				return duration, nil
			}
			break
		}
	}
	return 0, errors.NotValidf("duration %q (want a number and ms, s, m or h)", text)
}

// ParseAmount reads a number of units that stands without its unit, such as "1.5" seconds. It reports whether the text is
// a number that is not negative; the words for infinity are no numbers.
func ParseAmount(text string, unit time.Duration) (duration Duration, ok bool) {
	value, err := strconv.ParseFloat(text, 64)
	// ParseFloat returns an infinity for a number that is too large for a float.
	tooLarge := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLarge || math.IsNaN(value) || math.IsInf(value, 0) && !tooLarge {
		return 0, false
	}
	return FromFloat(value * float64(unit)), value >= 0
}

// FromFloat converts a number of nanoseconds and holds it at MaxDuration. What is above 0 is at least a nanosecond;
// what is no number is 0.
func FromFloat(nanoseconds float64) Duration {
	switch {
	case math.IsNaN(nanoseconds) || nanoseconds == 0:
		return 0
	case nanoseconds > 0:
		return Duration(max(1, min(nanoseconds, float64(MaxDuration))))
	}
	return Duration(max(nanoseconds, -float64(MaxDuration)))
}

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText reads the duration from JSON or YAML.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := ParseDuration(string(text))
	if err == nil {
		*d = duration
	}
	return err
}

// MarshalText writes the duration in milliseconds, such as "250ms".
func (d Duration) MarshalText() ([]byte, error) {
	ms := float64(d) / float64(time.Millisecond)
	return []byte(strconv.FormatFloat(ms, 'f', -1, 64) + "ms"), nil
}
