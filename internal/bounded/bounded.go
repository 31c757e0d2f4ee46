// Package bounded reads what a peer announced the length of, without trusting the
// announcement: memory is taken only as bytes arrive.
package bounded

import (
	"io"
	"slices"
)

// firstStep is how much is taken at once before anything has arrived.
const initialBytes = 32 << 10

// Read reads exactly size bytes. It never holds more than twice what has arrived,
// and a small first step: a length is a claim until its bytes are there. A source
// that ends early gives io.ErrUnexpectedEOF.
//
// Example:
//
//	body, err := bounded.Read(reader, announced)
func Read(reader io.Reader, size int) ([]byte, error) {
	data := make([]byte, 0, min(size, initialBytes))
	for len(data) < size {
		step := min(size-len(data), max(len(data), initialBytes))
		data = slices.Grow(data, step)
		count, err := io.ReadFull(reader, data[len(data):len(data)+step])
		data = data[:len(data)+count]
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}
