package balancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

var _ = Describe("a server that is reported to be leaving", func() {
	It("is never chosen again, with or without a ring position, even if the fleet state lists it as ready for an hour", func() {
		clock := &clock.Manual{Now: time.Hour}
		fleet := feed.Fleet{Term: 1, Count: 1, Servers: []feed.Server{
			{ID: "a", Service: "s", Zone: "z", Capacity: 2, IsReady: true}, {ID: "b", Service: "s", Zone: "z", Capacity: 2, IsReady: true},
		}}
		set := balancer.NewServerSet(balancer.Locality{Node: "n", Zone: "z"}).WithFleet(fleet)
		set.MarkLeaving([]string{"a", "unknown"})
		// The mark survives a fleet state that still lists the server as ready.
		fleet.Count, fleet.Servers[0].Capacity = 2, 3
		set = set.WithFleet(fleet)
		chosen := func() map[string]bool {
			ids := map[string]bool{}
			for i := range 200 {
				for _, hasPosition := range []bool{false, true} {
					ids[set.Choose(balancer.Criteria{Service: "s", Position: balancer.RingPositionOf("k", string(rune(i))), HasPosition: hasPosition}, clock).ID] = true
				}
			}
			return ids
		}
		Expect(chosen()).To(Equal(map[string]bool{"b": true}))
		clock.Sleep(time.Hour)
		fleet.Count, fleet.Servers[0].Capacity = 3, 4
		set = set.WithFleet(fleet)
		Expect(chosen()).To(Equal(map[string]bool{"b": true}))
	})
})
