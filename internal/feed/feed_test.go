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

// follow subscribes to the hub from a position without a network connection.
func follow(hub *feed.Hub, from feed.FollowRequest, onUpdate func(feed.Update) bool) (cancel func()) {
	body, err := cbor.Marshal(from)
	Expect(err).NotTo(HaveOccurred())
	ended := make(chan struct{})
	hub.Handle(rpc.Call{Body: body, Closed: ended, Reply: func(update any) bool { return onUpdate(update.(feed.Update)) }})
	return func() { close(ended) }
}

var _ = Describe("a feed", func() {
	It("brings a subscriber to the state of the hubs across disconnects and hub restarts", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 2))
			hubs := []*feed.Hub{feed.NewHub(), feed.NewHub()}
			all := config.ItemSet{}
			replica, positions := feed.NewReplica(), []feed.FollowRequest{{}, {}}
			cancels := make([]func(), 2)
			disconnected := []bool{true, true}
			connect := func(at int) {
				disconnected[at] = false
				cancels[at] = follow(hubs[at], positions[at], func(update feed.Update) bool {
					if disconnected[at] {
						return false
					}
					replica.Merge(update)
					positions[at].Incarnation, positions[at].Sequence = update.Incarnation, update.Sequence
					return true
				})
			}
			for step := range 300 {
				at := random.IntN(2)
				switch random.IntN(8) {
				case 0:
					if !disconnected[at] {
						disconnected[at] = true
						cancels[at]()
					}
				case 1:
					if disconnected[at] {
						connect(at)
					}
				case 2:
					if random.IntN(6) == 0 { // a restarted hub has the state on disk
						hubs[at] = feed.NewHub()
						hubs[at].Publish(feed.Update{Items: all.Items()})
						disconnected[at] = true
					}
				default:
					update := feed.Update{Items: []config.Item{item(fmt.Sprint(random.IntN(5)), step+1)}}
					all.Merge(update.Items)
					for _, hub := range hubs {
						hub.Publish(update)
					}
				}
				if !disconnected[0] || !disconnected[1] {
					Expect(replica.Items.Digest()).To(Equal(all.Digest()), "seed %d step %d", seed, step)
				}
			}
		}
	})

	It("starts with a snapshot and then sends only newer state", func() {
		hub := feed.NewHub()
		hub.Publish(feed.Update{Items: []config.Item{item("a", 1)}, View: &membership.View{Epoch: 3}})
		var received []feed.Update
		follow(hub, feed.FollowRequest{Name: "one"}, func(update feed.Update) bool { received = append(received, update); return true })
		Expect(received).To(HaveLen(1))
		Expect(received[0].Snapshot).To(BeTrue())
		hub.Publish(feed.Update{Items: []config.Item{item("a", 1)}, View: &membership.View{Epoch: 2}})
		Expect(received).To(HaveLen(1))
		hub.Publish(feed.Update{Items: []config.Item{item("a", 2)}})
		Expect(received).To(HaveLen(2))
		Expect(received[1].Snapshot).To(BeFalse())
		Expect(hub.Followers()).To(Equal([]string{"one"}))
	})

	It("brings the fleet as diffs from any hub to the same state", func() {
		for seed := range uint64(80) {
			random := rand.New(rand.NewPCG(seed, 5))
			hubs := []*feed.Hub{feed.NewHub(), feed.NewHub()}
			replica := feed.NewReplica()
			fleet := feed.Fleet{Term: 1}
			bytes, mismatched := 0, false
			take := func(update feed.Update) bool {
				mismatched = mismatched || !replica.CanApply(update)
				replica.Merge(update)
				text, err := cbor.Marshal(update)
				Expect(err).NotTo(HaveOccurred())
				bytes += len(text)
				return true
			}
			for _, hub := range hubs {
				follow(hub, feed.FollowRequest{}, take)
			}
			for range 100 {
				var next []feed.Server
				for id := range 40 {
					if random.IntN(30) > 0 {
						next = append(next, feed.Server{ID: fmt.Sprintf("i-%02d", id), Capacity: 1 + random.IntN(40)/39})
					}
				}
				fleet = feed.Fleet{Term: 1, Count: fleet.Count + 1, Servers: next}
				skipped := random.IntN(4)
				for at, hub := range hubs {
					if at != skipped {
						hub.Publish(feed.Update{Fleet: &fleet})
					}
				}
				if mismatched { // requests a snapshot from one hub
					mismatched = false
					follow(hubs[(skipped+1)%2], feed.FollowRequest{}, take)
				}
				Expect(replica.Fleet.Servers).To(Equal(fleet.Servers), "seed %d", seed)
			}
			Expect(bytes).To(BeNumerically(">", 0))
		}
	})

	It("keeps the end of a warm-up that differs only by clock steps", func() {
		last := []feed.Server{{ID: "a", WarmupEndMs: 5000}, {ID: "b"}}
		normalized := feed.Normalize(last, []feed.Server{{ID: "b"}, {ID: "a", WarmupEndMs: 5300}})
		Expect(normalized).To(Equal(last))
		Expect(feed.Normalize(last, []feed.Server{{ID: "a", WarmupEndMs: 9000}})[0].WarmupEndMs).To(BeEquivalentTo(9000))
	})

	It("never replaces the fleet by one of an older term", func() {
		replica := feed.NewReplica()
		replica.Merge(feed.Update{Fleet: &feed.Fleet{Term: 2, Count: 1, Servers: []feed.Server{{ID: "new"}}}})
		_, changed := replica.Merge(feed.Update{Fleet: &feed.Fleet{Term: 1, Count: 9, Servers: []feed.Server{{ID: "old"}}}})
		Expect(changed).To(BeFalse())
		Expect(replica.Fleet.Servers[0].ID).To(Equal("new"))
	})
})
