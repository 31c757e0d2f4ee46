// Package bounded reads what a peer announced the length of, without trusting the
// announcement: memory is taken only as bytes arrive.
package bounded

import (
	"io"
	"slices"
)

// firstStep is how much is taken at once before anything has arrived.
const firstStep = 32 << 10

// Read reads exactly size bytes. It never holds more than twice what has arrived,
// and a small first step: a length is a claim until its bytes are there. A source
// that ends early gives io.ErrUnexpectedEOF.
//
// Example:
//
//	body, err := bounded.Read(reader, announced)
func Read(from io.Reader, size int) ([]byte, error) {
	text := make([]byte, 0, min(size, firstStep))
	for len(text) < size {
		step := min(size-len(text), max(len(text), firstStep))
		text = slices.Grow(text, step)
		count, err := io.ReadFull(from, text[len(text):len(text)+step])
		text = text[:len(text)+count]
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return text, nil
}
