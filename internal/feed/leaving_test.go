package feed_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
)

var _ = Describe("the report of leaving servers", func() {
	fleetOf := func(count uint64, servers ...feed.Server) *feed.Fleet {
		return &feed.Fleet{Term: 1, Count: count, Servers: servers}
	}
	ready := func(id string) feed.Server { return feed.Server{ID: id, IsReady: true} }
	draining := func(id string) feed.Server { return feed.Server{ID: id} }

	It("names only servers that the fleet still lists as ready or that were not seen leaving before", func() {
		replica := feed.NewReplica()
		replica.Merge(feed.Update{Fleet: fleetOf(1, ready("a"), draining("b"), ready("c"))})
		listed := []feed.Server{draining("a"), draining("b"), ready("c"), draining("d")}
		Expect(replica.UnreportedLeaving(listed)).To(Equal([]string{"a", "d"}))
		replica.Merge(feed.Update{Leaving: []string{"a", "d"}})
		// A report on a server that the fleet lists as ready may have been lost.
		Expect(replica.UnreportedLeaving(listed)).To(Equal([]string{"a"}))
		replica.Merge(feed.Update{Fleet: fleetOf(2, draining("a"), draining("b"), ready("c"))})
		Expect(replica.UnreportedLeaving(listed)).To(BeEmpty())
	})

	It("is forwarded once, is part of snapshots, and is not reverted by any fleet", func() {
		hub := feed.NewHub()
		hub.Publish(feed.Update{Fleet: fleetOf(1, ready("a"), ready("b"))})
		var received []feed.Update
		follow(hub, feed.FollowRequest{}, func(update feed.Update) bool { received = append(received, update); return true })
		for range 2 {
			hub.Publish(feed.Update{Leaving: []string{"a", "unknown"}})
		}
		Expect(received).To(HaveLen(2))
		Expect(received[1].Leaving).To(Equal([]string{"a", "unknown"}))
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
		// The fleets: one that was read earlier, one that shows the server leaving, and an
		// older list under a new term.
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
			Expect(replica.Fleet.Servers).To(HaveEach(HaveField("IsReady", true)), "the fleet itself stays as received, as diffs apply to it")
		})
	})

	It("is remembered for a bounded number of servers, the most recent ones", func() {
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

var _ = Describe("a listing that changed while it was paged", func() {
	It("contains each server once, as leaving if any page shows it leaving", func() {
		listed := []feed.Server{{ID: "b", IsReady: true}, {ID: "a", IsReady: true}, {ID: "b"}, {ID: "c", IsReady: true}, {ID: "c", IsReady: true}}
		Expect(feed.Normalize(nil, listed)).To(Equal([]feed.Server{{ID: "a", IsReady: true}, {ID: "b"}, {ID: "c", IsReady: true}}))
	})
})
