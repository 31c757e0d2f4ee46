// Package bounded reads what comes from outside without trusting its size: data of an
// announced length, for which memory is allocated only as bytes arrive, and numbers, which
// are held at a bound.
package bounded

import (
	"io"
	"slices"
)

// initialBytes is the allocation limit before any byte has arrived.
const initialBytes = 32 << 10

// Read reads exactly size bytes. It allocates an initial 32 KiB at most, and after that
// no more than twice the bytes received, because the announced size may be wrong. If
// the reader ends early, Read returns io.ErrUnexpectedEOF.
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
