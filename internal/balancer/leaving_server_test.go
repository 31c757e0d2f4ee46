package balancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

var _ = Describe("a server that is reported to leave", func() {
	It("is never chosen again, on the ring or off it, whatever the fleet says and however long it takes", func() {
		hand := &timetable.Hand{Now: time.Hour}
		fleet := feed.Fleet{Term: 1, Count: 1, Servers: []feed.Server{
			{ID: "a", Service: "s", Cell: "z", Capacity: 2, IsReady: true}, {ID: "b", Service: "s", Cell: "z", Capacity: 2, IsReady: true},
		}}
		yard := balancer.NewServerSet(balancer.Locality{Node: "n", Zone: "z"}).WithFleet(fleet)
		yard.MarkLeaving([]string{"a", "unknown"})
		// What is known of it outlives a reading that still calls it ready.
		fleet.Count, fleet.Servers[0].Capacity = 2, 3
		yard = yard.WithFleet(fleet)
		chosen := func() map[string]bool {
			out := map[string]bool{}
			for place := range 200 {
				for _, isPlaced := range []bool{false, true} {
					out[yard.Choose(balancer.Criteria{Service: "s", Position: balancer.RingPositionOf("k", string(rune(place))), HasPosition: isPlaced}, hand).ID] = true
				}
			}
			return out
		}
		Expect(chosen()).To(Equal(map[string]bool{"b": true}))
		hand.Sleep(time.Hour)
		fleet.Count, fleet.Servers[0].Capacity = 3, 4
		yard = yard.WithFleet(fleet)
		Expect(chosen()).To(Equal(map[string]bool{"b": true}))
	})
})
