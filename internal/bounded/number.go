package bounded

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/juju/errors"
)

// The largest values of Count and Bytes. A larger number is held at the largest value, a smaller one at its
// negative, so that sums and small multiples do not overflow.
const (
	MaxCount Count = math.MaxInt32
	MaxBytes Bytes = 1 << 50
)

// Count is a number of things, decoded from any JSON number. A fraction is dropped.
type Count int

// UnmarshalJSON reads the number and holds it at MaxCount.
func (c *Count) UnmarshalJSON(text []byte) error { return decodeWhole(text, MaxCount, c) }

// UnmarshalYAML reads the number and holds it at MaxCount.
func (c *Count) UnmarshalYAML(unmarshal func(any) error) error {
	var number float64
	if err := unmarshal(&number); err != nil {
		return err
	}
	if math.IsNaN(number) {
		return errors.NotValidf("number NaN")
	}
	*c = wholeOf(number, MaxCount)
	return nil
}

// Bytes is a number of bytes, decoded from any JSON number. A fraction is dropped.
type Bytes int64

// UnmarshalJSON reads the number and holds it at MaxBytes.
func (b *Bytes) UnmarshalJSON(text []byte) error { return decodeWhole(text, MaxBytes, b) }

// Float is a number decoded from any JSON number. One that is too large for a float is held at the largest float.
type Float float64

// UnmarshalJSON reads the number and holds it at the largest float.
func (f *Float) UnmarshalJSON(text []byte) error {
	number, err := readNumber(text)
	if err != nil || number == "" {
		return err
	}
	*f = Float(min(max(parseFloat(number), -math.MaxFloat64), math.MaxFloat64))
	return nil
}

// decodeWhole sets out to the whole number in the text, held between -limit and limit.
func decodeWhole[T ~int | ~int64](text []byte, limit T, out *T) error {
	number, err := readNumber(text)
	if err != nil || number == "" {
		return err
	}
	if whole, err := strconv.ParseInt(string(number), 10, 64); err == nil {
		*out = T(min(max(whole, -int64(limit)), int64(limit)))
		return nil
	}
	*out = wholeOf(parseFloat(number), limit)
	return nil
}

// wholeOf returns a number without its fraction, held between -limit and limit.
func wholeOf[T ~int | ~int64](number float64, limit T) T {
	return T(min(max(number, -float64(limit)), float64(limit)))
}

// readNumber returns the JSON number in the text. As usual in JSON decoding, null changes nothing: it gives no number.
func readNumber(text []byte) (number json.Number, err error) {
	if string(text) == "null" {
		return "", nil
	}
	if err = json.Unmarshal(text, &number); err != nil || text[0] == '"' {
		return "", errors.NotValidf("number %s", text)
	}
	return number, nil
}

// parseFloat returns the number, or an infinity of its sign if it is out of range.
func parseFloat(number json.Number) float64 {
	value, _ := strconv.ParseFloat(string(number), 64)
	return value
}
