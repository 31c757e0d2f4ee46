package feed_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
)

var _ = Describe("a fleet diff", func() {
	It("leads to the same fleet if servers are added, removed or changed, or only their relative latency is", func() {
		for seed := range uint64(100) {
			random := rand.New(rand.NewPCG(seed, 6))
			current := feed.Fleet{Term: 1, Count: 1}
			for step := range uint64(40) {
				next := feed.Fleet{Term: 1, Count: step + 2}
				for id := range 30 {
					if random.IntN(15) > 0 {
						next.Servers = append(next.Servers, feed.Server{ID: fmt.Sprintf("i-%02d", id), Capacity: 1 + random.IntN(20)/19, RelativeLatency: random.IntN(12), Ejected: random.IntN(9) == 0})
					}
				}
				change := next.DiffFrom(current)
				text, err := cbor.Marshal(change)
				Expect(err).NotTo(HaveOccurred())
				var received feed.Fleet
				Expect(cbor.Unmarshal(text, &received)).To(Succeed())
				Expect(current.Apply(received).Servers).To(Equal(next.Servers), "seed %d", seed)
				current = next
			}
		}
	})

	It("is small if only relative latencies change", func() {
		old := feed.Fleet{Term: 1, Count: 1}
		for id := range 600 {
			old.Servers = append(old.Servers, feed.Server{ID: fmt.Sprintf("i-%03d", id), Service: "lessons", Address: "10.128.0.9:8080", Zone: "tvm-a", Capacity: 2, IsReady: true, Revision: "v1", RelativeLatency: 8})
		}
		next := feed.Fleet{Term: 1, Count: 2}
		for i, server := range old.Servers {
			if i%2 == 0 {
				server.RelativeLatency = 9
			}
			next.Servers = append(next.Servers, server)
		}
		text, err := cbor.Marshal(next.DiffFrom(old))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(BeNumerically("<", 300*5))
		Expect(feed.EqualIgnoringHealth(old.Servers, next.Servers)).To(BeTrue())
		next.Servers[3].IsReady = false
		Expect(feed.EqualIgnoringHealth(old.Servers, next.Servers)).To(BeFalse())
	})

	It("is encoded once for all subscribers", func() {
		hub := feed.NewHub()
		hub.Publish(feed.Update{Fleet: &feed.Fleet{Term: 1, Count: 1, Servers: []feed.Server{{ID: "a"}}}})
		var first, second feed.Update
		follow(hub, feed.FollowRequest{}, func(update feed.Update) bool { first = update; return true })
		follow(hub, feed.FollowRequest{}, func(update feed.Update) bool { second = update; return true })
		firstData, err := first.MarshalCBOR()
		Expect(err).NotTo(HaveOccurred())
		secondData, err := second.MarshalCBOR()
		Expect(err).NotTo(HaveOccurred())
		Expect(&firstData[0]).To(BeIdenticalTo(&secondData[0]))
		var decoded feed.Update
		Expect(cbor.Unmarshal(firstData, &decoded)).To(Succeed())
		Expect(decoded.Fleet.Servers).To(Equal(first.Fleet.Servers))
		hub.Publish(feed.Update{Fleet: &feed.Fleet{Term: 1, Count: 2, Servers: []feed.Server{{ID: "b"}}}})
		follow(hub, feed.FollowRequest{}, func(update feed.Update) bool { second = update; return true })
		Expect(second.Fleet.Servers[0].ID).To(Equal("b"))
	})
})
