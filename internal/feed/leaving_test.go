package feed_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
)

var _ = Describe("the news that servers leave", func() {
	fleetOf := func(count uint64, servers ...feed.Server) *feed.Fleet {
		return &feed.Fleet{Term: 1, Count: count, Servers: servers}
	}
	ready := func(id string) feed.Server { return feed.Server{ID: id, IsReady: true} }
	draining := func(id string) feed.Server { return feed.Server{ID: id} }

	It("names those that the fleet still calls ready, and no others", func() {
		fleet := fleetOf(1, ready("a"), draining("b"), ready("c"))
		read := []feed.Server{draining("a"), draining("b"), ready("c"), draining("d")}
		Expect(fleet.StillReady(read)).To(Equal([]string{"a"}))
	})

	It("is passed on once, stands in a checkpoint, and ends when the fleet says so itself", func() {
		hub := feed.NewHub()
		hub.Publish(feed.News{Fleet: fleetOf(1, ready("a"), ready("b"))})
		var got []feed.News
		follow(hub, feed.Follow{}, func(news feed.News) bool { got = append(got, news); return true })
		for range 2 {
			hub.Publish(feed.News{Leaving: []string{"a", "unknown"}})
		}
		Expect(got).To(HaveLen(2))
		Expect(got[1].Leaving).To(Equal([]string{"a"}))
		var first feed.News
		newcomer := func() { follow(hub, feed.Follow{}, func(news feed.News) bool { first = news; return true }) }
		newcomer()
		Expect(first.Leaving).To(Equal([]string{"a"}))
		// A fleet that was read before does not undo it.
		hub.Publish(feed.News{Fleet: fleetOf(2, ready("a"), ready("b"), ready("c"))})
		newcomer()
		Expect(first.Leaving).To(Equal([]string{"a"}))
		hub.Publish(feed.News{Fleet: fleetOf(3, draining("a"), ready("b"))})
		newcomer()
		Expect(first.Leaving).To(BeEmpty())
	})
})
