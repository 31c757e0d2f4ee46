package feed_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/feed"
)

// FuzzMerge holds that no news that can be read, whatever it claims, brings a board
// down, and that a board never goes back.
func FuzzMerge(f *testing.F) {
	held := feed.Fleet{Term: 1, Count: 1, Servers: []feed.Server{{ID: "a"}, {ID: "b", RelativeLatency: 3}}}
	next := feed.Fleet{Term: 1, Count: 2, Servers: []feed.Server{{ID: "b", RelativeLatency: 4}, {ID: "c"}}}
	change := next.DiffFrom(held)
	far := change
	far.RelativeLatencies = []uint32{1 << 31, 5, 1}
	for _, news := range []feed.Update{{Fleet: &held, Snapshot: true}, {Fleet: &change}, {Fleet: &far}, {Fleet: &next, Complete: true}} {
		text, err := cbor.Marshal(news)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte{0xa1, 0x04, 0xa0})
	f.Fuzz(func(t *testing.T, text []byte) {
		var news feed.Update
		if cbor.Unmarshal(text, &news) != nil {
			return
		}
		board := feed.NewReplica()
		board.Merge(feed.Update{Fleet: &held})
		before := board.Fleet.Version()
		board.Merge(news)
		if before.NewerThan(board.Fleet.Version()) {
			t.Fatalf("the fleet went back from %v to %v", before, board.Fleet.Version())
		}
		_ = board.Snapshot()
	})
}
