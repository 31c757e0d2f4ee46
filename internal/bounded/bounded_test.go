package bounded_test

import (
	"bytes"
	"io"
	"runtime"
	"testing"

	"ploverhitch/internal/bounded"
)

func TestReadGivesJustWhatWasAnnounced(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 32<<10 + 1, 1 << 20} {
		all := bytes.Repeat([]byte("abcdefg"), size/7+2)
		from := bytes.NewReader(all)
		got, err := bounded.Read(from, size)
		if err != nil || !bytes.Equal(got, all[:size]) {
			t.Fatalf("%d bytes: %v, got %d", size, err, len(got))
		}
		if from.Len() != len(all)-size {
			t.Fatalf("%d bytes: %d are left", size, from.Len())
		}
	}
}

func TestReadTakesNoMemoryForAClaim(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := bounded.Read(bytes.NewReader(make([]byte, 100)), 1<<30)
	runtime.ReadMemStats(&after)
	if err != io.ErrUnexpectedEOF {
		t.Fatalf("got %v", err)
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > 1<<20 {
		t.Fatalf("%d bytes were taken for 100 that came", taken)
	}
}
