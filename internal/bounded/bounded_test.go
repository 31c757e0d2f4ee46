package bounded_test

import (
	"bytes"
	"io"
	"runtime"
	"testing"

	"ploverhitch/internal/bounded"
)

func TestReadReturnsExactlyTheAnnouncedBytes(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 32<<10 + 1, 1 << 20} {
		all := bytes.Repeat([]byte("abcdefg"), size/7+2)
		reader := bytes.NewReader(all)
		got, err := bounded.Read(reader, size)
		if err != nil || !bytes.Equal(got, all[:size]) {
			t.Fatalf("%d bytes: %v, got %d", size, err, len(got))
		}
		if reader.Len() != len(all)-size {
			t.Fatalf("%d bytes: %d bytes remain unread", size, reader.Len())
		}
	}
}

func TestReadAllocatesNoMemoryForAnnouncedSize(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := bounded.Read(bytes.NewReader(make([]byte, 100)), 1<<30)
	runtime.ReadMemStats(&after)
	if err != io.ErrUnexpectedEOF {
		t.Fatalf("got %v", err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Fatalf("%d bytes were allocated for 100 received", allocated)
	}
}
