package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"
)

func encodedFrame(t testing.TB, number uint64, kind Kind, body any) []byte {
	t.Helper()
	data, err := encodeFrame(number, kind, body)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{}, data.header...), data.body...)
}

// FuzzReadFrame checks that the decoder never panics, consumes no byte of the next
// frame, and accepts only bodies that can be decoded.
func FuzzReadFrame(f *testing.F) {
	whole := encodedFrame(f, 7, kindTest, map[string]int{"a": 1})
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{3, 255, 255, 255, 0xa3})
	f.Add([]byte{255, 255, 255, 255})
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Add([]byte{0, 0, 0, 6, 0x9b, 255, 255, 255, 255, 255})
	next := encodedFrame(f, 8, kindTest, "the next frame")
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(append(bytes.Clone(data), next...)))
		got, err := readFrame(reader)
		if err != nil || len(data) < 4 || uint64(len(data)-4) != uint64(binary.BigEndian.Uint32(data)) {
			return
		}
		after, err := readFrame(reader)
		if err != nil || after.Number != 8 {
			t.Fatalf("number of the next frame: got %d, error %v", after.Number, err)
		}
		var body any
		if len(got.Body) > 0 && Decode(got.Body, &body) != nil {
			t.Fatalf("an accepted body cannot be decoded")
		}
	})
}

func TestReadFrameAllocatesNoMemoryForAnnouncedLength(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, maxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(append(header, 0xa3)))); err == nil {
		t.Fatal("a frame of one byte was accepted as one of 64 MB")
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Fatalf("%d bytes were allocated", allocated)
	}
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)))); err == nil {
		t.Fatal("a frame over the size limit was accepted")
	}
}
