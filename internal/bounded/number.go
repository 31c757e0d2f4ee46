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

// Bytes is a number of bytes, decoded from any JSON number. A fraction is dropped.
type Bytes int64

// UnmarshalJSON reads the number and holds it at MaxBytes.
func (b *Bytes) UnmarshalJSON(text []byte) error { return decodeWhole(text, MaxBytes, b) }

// decodeWhole sets out to the whole number in the text, held between -limit and limit. As usual in
// JSON decoding, null leaves out unchanged.
func decodeWhole[T ~int | ~int64](text []byte, limit T, out *T) error {
	if string(text) == "null" {
		return nil
	}
	var number json.Number
	if err := json.Unmarshal(text, &number); err != nil || text[0] == '"' {
		return errors.NotValidf("number %s", text)
	}
	if whole, err := strconv.ParseInt(string(number), 10, 64); err == nil {
		*out = T(min(max(whole, -int64(limit)), int64(limit)))
		return nil
	}
	// ParseFloat returns an infinity of the right sign for a number out of range.
	value, _ := strconv.ParseFloat(string(number), 64)
	*out = T(min(max(value, -float64(limit)), float64(limit)))
	return nil
}
