package balancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

var _ = Describe("a server that is reported to leave", func() {
	It("is never chosen again, on the ring or off it, whatever the fleet says and however long it takes", func() {
		hand := &clock.Manual{Now: time.Hour}
		fleet := feed.Fleet{Term: 1, Count: 1, Servers: []feed.Server{
			{ID: "a", Service: "s", Zone: "z", Capacity: 2, IsReady: true}, {ID: "b", Service: "s", Zone: "z", Capacity: 2, IsReady: true},
		}}
		yard := balancer.NewYard(balancer.Home{Node: "n", Cell: "z"}).Lay(fleet)
		yard.Leave([]string{"a", "unknown"})
		// What is known of it outlives a reading that still calls it ready.
		fleet.Count, fleet.Servers[0].Capacity = 2, 3
		yard = yard.Lay(fleet)
		chosen := func() map[string]bool {
			out := map[string]bool{}
			for place := range 200 {
				for _, isPlaced := range []bool{false, true} {
					out[yard.Choose(balancer.Wish{Service: "s", Place: balancer.PlaceOf("k", string(rune(place))), IsPlaced: isPlaced}, hand).ID] = true
				}
			}
			return out
		}
		Expect(chosen()).To(Equal(map[string]bool{"b": true}))
		hand.Sleep(time.Hour)
		fleet.Count, fleet.Servers[0].Capacity = 3, 4
		yard = yard.Lay(fleet)
		Expect(chosen()).To(Equal(map[string]bool{"b": true}))
	})
})
