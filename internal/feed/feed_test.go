package feed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

func item(name string, version int) config.Item {
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: config.Version(version)}
}

// follow asks the hub from a place on, over nothing but a closure.
func follow(hub *feed.Hub, from feed.Follow, take func(feed.News) bool) (end func()) {
	body, err := cbor.Marshal(from)
	Expect(err).NotTo(HaveOccurred())
	ended := make(chan struct{})
	hub.Handle(rpc.Call{Body: body, Closed: ended, Reply: func(news any) bool { return take(news.(feed.News)) }})
	return func() { close(ended) }
}

var _ = Describe("a feed", func() {
	It("brings every follower to the hub's board, however often it breaks and whoever restarts", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 2))
			hubs := []*feed.Hub{feed.NewHub(), feed.NewHub()}
			all := config.Book{}
			board, reached := feed.NewBoard(), []feed.Follow{{}, {}}
			ends := make([]func(), 2)
			isCut := []bool{true, true}
			connect := func(at int) {
				isCut[at] = false
				ends[at] = follow(hubs[at], reached[at], func(news feed.News) bool {
					if isCut[at] {
						return false
					}
					board.Merge(news)
					reached[at].Life, reached[at].Place = news.Life, news.Place
					return true
				})
			}
			for step := range 300 {
				at := random.IntN(2)
				switch random.IntN(8) {
				case 0:
					if !isCut[at] {
						isCut[at] = true
						ends[at]()
					}
				case 1:
					if isCut[at] {
						connect(at)
					}
				case 2:
					if random.IntN(6) == 0 { // a restart: the hub has what the disk kept
						hubs[at] = feed.NewHub()
						hubs[at].Publish(feed.News{Items: all.Items()})
						isCut[at] = true
					}
				default:
					news := feed.News{Items: []config.Item{item(fmt.Sprint(random.IntN(5)), step+1)}}
					all.Merge(news.Items)
					for _, hub := range hubs {
						hub.Publish(news)
					}
				}
				if !isCut[0] || !isCut[1] {
					Expect(board.Book.Digest()).To(Equal(all.Digest()), "seed %d step %d", seed, step)
				}
			}
		}
	})

	It("starts from a checkpoint, and from then on sends only what is newer", func() {
		hub := feed.NewHub()
		hub.Publish(feed.News{Items: []config.Item{item("a", 1)}, View: &membership.View{Epoch: 3}})
		var got []feed.News
		follow(hub, feed.Follow{Name: "one"}, func(news feed.News) bool { got = append(got, news); return true })
		Expect(got).To(HaveLen(1))
		Expect(got[0].IsCheckpoint).To(BeTrue())
		hub.Publish(feed.News{Items: []config.Item{item("a", 1)}, View: &membership.View{Epoch: 2}})
		Expect(got).To(HaveLen(1))
		hub.Publish(feed.News{Items: []config.Item{item("a", 2)}})
		Expect(got).To(HaveLen(2))
		Expect(got[1].IsCheckpoint).To(BeFalse())
		Expect(hub.Followers()).To(Equal([]string{"one"}))
	})

	It("brings the fleet as changes, from any hub, to the same whole", func() {
		for seed := range uint64(80) {
			random := rand.New(rand.NewPCG(seed, 5))
			hubs := []*feed.Hub{feed.NewHub(), feed.NewHub()}
			board := feed.NewBoard()
			whole := feed.Fleet{Term: 1}
			bytes, isGap := 0, false
			take := func(news feed.News) bool {
				isGap = isGap || !board.Fits(news)
				board.Merge(news)
				text, err := cbor.Marshal(news)
				Expect(err).NotTo(HaveOccurred())
				bytes += len(text)
				return true
			}
			for _, hub := range hubs {
				follow(hub, feed.Follow{}, take)
			}
			for range 100 {
				var next []feed.Server
				for id := range 40 {
					if random.IntN(30) > 0 {
						next = append(next, feed.Server{ID: fmt.Sprintf("i-%02d", id), Capacity: 1 + random.IntN(40)/39})
					}
				}
				whole = feed.Fleet{Term: 1, Count: whole.Count + 1, Servers: next}
				isMissed := random.IntN(4)
				for at, hub := range hubs {
					if at != isMissed {
						hub.Publish(feed.News{Fleet: &whole})
					}
				}
				if isGap { // it asks one of them for a checkpoint
					isGap = false
					follow(hubs[(isMissed+1)%2], feed.Follow{}, take)
				}
				Expect(board.Fleet.Servers).To(Equal(whole.Servers), "seed %d", seed)
			}
			Expect(bytes).To(BeNumerically(">", 0))
		}
	})

	It("says nothing of a server whose warming is the same but for the clock", func() {
		last := []feed.Server{{ID: "a", WarmMs: 5000}, {ID: "b"}}
		read := feed.Settle(last, []feed.Server{{ID: "b"}, {ID: "a", WarmMs: 5300}})
		Expect(read).To(Equal(last))
		Expect(feed.Settle(last, []feed.Server{{ID: "a", WarmMs: 9000}})[0].WarmMs).To(BeEquivalentTo(9000))
	})

	It("never goes below a fenced term of the fleet", func() {
		board := feed.NewBoard()
		board.Merge(feed.News{Fleet: &feed.Fleet{Term: 2, Count: 1, Servers: []feed.Server{{ID: "new"}}}})
		_, isNew := board.Merge(feed.News{Fleet: &feed.Fleet{Term: 1, Count: 9, Servers: []feed.Server{{ID: "old"}}}})
		Expect(isNew).To(BeFalse())
		Expect(board.Fleet.Servers[0].ID).To(Equal("new"))
	})
})
