package storage_test

import (
	"math/rand/v2"
	"testing"

	"ploverhitch/internal/standin"
	"ploverhitch/internal/storage"
)

const fuzzedSegment = "segment-0000000000000001"

// FuzzSegment checks that a log opens and accepts records if its segment contains
// arbitrary bytes.
func FuzzSegment(f *testing.F) {
	disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
	log, err := storage.Open(disk, func([]byte) error { return nil })
	if err != nil {
		f.Fatal(err)
	}
	for range 3 {
		if err := log.Append([][]byte{[]byte("one"), {}, []byte("two")}); err != nil {
			f.Fatal(err)
		}
	}
	segment := disk.Bytes(fuzzedSegment)
	f.Add(segment)
	f.Add(segment[:len(segment)-2])
	f.Add(segment[5:])
	f.Add([]byte{})
	f.Add([]byte{0x70, 0x6c, 0x6f, 0x76, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Add(append([]byte("plov"), segment...))
	f.Fuzz(func(t *testing.T, text []byte) {
		disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		file, err := disk.Create(fuzzedSegment)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = file.Write(text); err != nil {
			t.Fatal(err)
		}
		log, err := storage.Open(disk, func([]byte) error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		if err = log.Append([][]byte{[]byte("kept")}); err != nil {
			t.Fatal(err)
		}
		last := ""
		if _, err = storage.Open(disk, func(record []byte) error { last = string(record); return nil }); err != nil {
			t.Fatal(err)
		}
		if last != "kept" {
			t.Fatalf("the last record is %q", last)
		}
	})
}
