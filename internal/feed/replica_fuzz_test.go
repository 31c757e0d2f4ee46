package feed_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/feed"
)

// FuzzMerge checks that no decodable update, whatever its content, makes a replica panic
// or replaces its fleet by an older one.
func FuzzMerge(f *testing.F) {
	base := feed.Fleet{Term: 1, Count: 1, Servers: []feed.Server{{ID: "a"}, {ID: "b", RelativeLatency: 3}}}
	next := feed.Fleet{Term: 1, Count: 2, Servers: []feed.Server{{ID: "b", RelativeLatency: 4}, {ID: "c"}}}
	change := next.DiffFrom(base)
	outOfRange := change
	outOfRange.RelativeLatencies = []uint32{1 << 31, 5, 1}
	for _, update := range []feed.Update{{Fleet: &base, Snapshot: true}, {Fleet: &change}, {Fleet: &outOfRange}, {Fleet: &next, Complete: true}} {
		text, err := cbor.Marshal(update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte{0xa1, 0x04, 0xa0})
	f.Fuzz(func(t *testing.T, text []byte) {
		var update feed.Update
		if cbor.Unmarshal(text, &update) != nil {
			return
		}
		replica := feed.NewReplica()
		replica.Merge(feed.Update{Fleet: &base})
		before := replica.Fleet.Version()
		replica.Merge(update)
		if before.NewerThan(replica.Fleet.Version()) {
			t.Fatalf("the fleet version went back from %v to %v", before, replica.Fleet.Version())
		}
		_ = replica.Snapshot()
	})
}
