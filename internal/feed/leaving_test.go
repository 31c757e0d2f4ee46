package feed_test

import (
	"fmt"

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

	It("names those that the fleet still calls ready or that nobody has seen leave, and no others", func() {
		replica := feed.NewReplica()
		replica.Merge(feed.Update{Fleet: fleetOf(1, ready("a"), draining("b"), ready("c"))})
		listed := []feed.Server{draining("a"), draining("b"), ready("c"), draining("d")}
		Expect(replica.UnreportedLeaving(listed)).To(Equal([]string{"a", "d"}))
		replica.Merge(feed.Update{Leaving: []string{"a", "d"}})
		// What was told of a server that the fleet calls ready may be lost on its way.
		Expect(replica.UnreportedLeaving(listed)).To(Equal([]string{"a"}))
		replica.Merge(feed.Update{Fleet: fleetOf(2, draining("a"), draining("b"), ready("c"))})
		Expect(replica.UnreportedLeaving(listed)).To(BeEmpty())
	})

	It("is passed on once, stands in a checkpoint, and is undone by no fleet", func() {
		hub := feed.NewHub()
		hub.Publish(feed.Update{Fleet: fleetOf(1, ready("a"), ready("b"))})
		var got []feed.Update
		follow(hub, feed.FollowRequest{}, func(update feed.Update) bool { got = append(got, update); return true })
		for range 2 {
			hub.Publish(feed.Update{Leaving: []string{"a", "unknown"}})
		}
		Expect(got).To(HaveLen(2))
		Expect(got[1].Leaving).To(Equal([]string{"a", "unknown"}))
		var snapshot feed.Update
		readSnapshot := func() {
			follow(hub, feed.FollowRequest{}, func(update feed.Update) bool { snapshot = update; return true })
		}
		readSnapshot()
		Expect(snapshot.Leaving).To(Equal([]string{"a", "unknown"}))
		readiness := func() (out map[string]bool) {
			out = map[string]bool{}
			hub.Read(func(replica *feed.Replica) {
				for _, server := range replica.ServingFleet().Servers {
					out[server.ID] = server.IsReady
				}
			})
			return out
		}
		// Neither one that was read before, nor one that says so itself, nor an older
		// list under a new term.
		for count, fleet := range []*feed.Fleet{
			fleetOf(2, ready("a"), ready("b"), ready("c")), fleetOf(3, draining("a"), draining("b")),
			{Term: 2, Count: 1, Servers: []feed.Server{ready("a"), ready("b"), ready("c")}},
		} {
			hub.Publish(feed.Update{Fleet: fleet})
			readSnapshot()
			Expect(snapshot.Leaving).To(ContainElements("a", "unknown"), "fleet %d", count)
			Expect(readiness()).To(HaveKeyWithValue("a", false), "fleet %d", count)
		}
		Expect(readiness()).To(Equal(map[string]bool{"a": false, "b": false, "c": true}))
		hub.Read(func(replica *feed.Replica) {
			Expect(replica.Fleet.Servers).To(HaveEach(HaveField("IsReady", true)), "the fleet itself stays as it was told, as changes are told against it")
		})
	})

	It("is remembered for a bounded number of servers, the newest of them", func() {
		replica := feed.NewReplica()
		const reported = 5000
		for i := range reported {
			replica.Merge(feed.Update{Leaving: []string{fmt.Sprint(i)}})
		}
		Expect(len(replica.Leaving)).To(And(BeNumerically(">", 1000), BeNumerically("<", reported)))
		Expect(replica.Leaving).To(HaveKey(fmt.Sprint(reported - 1)))
		Expect(replica.Snapshot().Leaving).To(HaveLen(len(replica.Leaving)))
	})
})

var _ = Describe("a list that changed while it was paged", func() {
	It("names a server once, and one that any page shows leaving as leaving", func() {
		listed := []feed.Server{{ID: "b", IsReady: true}, {ID: "a", IsReady: true}, {ID: "b"}, {ID: "c", IsReady: true}, {ID: "c", IsReady: true}}
		Expect(feed.Normalize(nil, listed)).To(Equal([]feed.Server{{ID: "a", IsReady: true}, {ID: "b"}, {ID: "c", IsReady: true}}))
	})
})
