package balancer_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

var _ = Describe("news of paces alone", func() {
	It("change nothing of the yard but what a choice weighs", func() {
		fleet := feed.Fleet{Term: 1, Count: 1}
		for id := range 40 {
			fleet.Servers = append(fleet.Servers, feed.Server{ID: fmt.Sprintf("i-%02d", id), Service: "s", Zone: "a", Capacity: 2, IsReady: true, RelativeLatency: 8})
		}
		yard := balancer.NewYard(balancer.Home{Node: "n", Cell: "a"}).Lay(fleet)
		homes := map[string]*balancer.Siding{}
		for id := range 20 {
			homes[fmt.Sprint(id)] = yard.Home("s", balancer.PlaceOf(fmt.Sprint(id)))
		}
		next := feed.Fleet{Term: 1, Count: 2, Servers: slices.Clone(fleet.Servers)}
		for i := range next.Servers {
			next.Servers[i].RelativeLatency = 40
		}
		next.Servers[7].RelativeLatency, next.Servers[9].Ejected = 1, true
		laid := yard.Lay(next)
		for id, home := range homes {
			Expect(laid.Home("s", balancer.PlaceOf(id))).To(BeIdenticalTo(home))
		}
		yard.Hear(next)
		slow, quick := 0, 0
		for range 400 {
			switch yard.Choose(balancer.Wish{Service: "s", Usual: 100 * time.Millisecond}, &clock.Manual{}).ID {
			case "i-07":
				quick++
			case "i-09":
				slow++
			}
		}
		Expect(quick).To(BeNumerically(">", 2*slow+5))
	})
})
