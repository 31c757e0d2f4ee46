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

var _ = Describe("an update of latency ratios and ejections alone", func() {
	It("keeps the home servers and changes the costs of the servers", func() {
		fleet := feed.Fleet{Term: 1, Count: 1}
		for id := range 40 {
			fleet.Servers = append(fleet.Servers, feed.Server{ID: fmt.Sprintf("i-%02d", id), Service: "s", Zone: "a", Capacity: 2, IsReady: true, RelativeLatency: 8})
		}
		set := balancer.NewServerSet(balancer.Locality{Node: "n", Zone: "a"}).WithFleet(fleet)
		homes := map[string]*balancer.Endpoint{}
		for id := range 20 {
			homes[fmt.Sprint(id)] = set.HomeServer("s", balancer.RingPositionOf(fmt.Sprint(id)))
		}
		next := feed.Fleet{Term: 1, Count: 2, Servers: slices.Clone(fleet.Servers)}
		for i := range next.Servers {
			next.Servers[i].RelativeLatency = 40
		}
		next.Servers[7].RelativeLatency, next.Servers[9].Ejected = 1, true
		updated := set.WithFleet(next)
		for id, home := range homes {
			Expect(updated.HomeServer("s", balancer.RingPositionOf(id))).To(BeIdenticalTo(home))
		}
		set.UpdateHealth(next)
		ejected, fast := 0, 0
		for range 400 {
			switch set.Choose(balancer.Criteria{Service: "s", UsualLatency: 100 * time.Millisecond}, &clock.Manual{}).ID {
			case "i-07":
				fast++
			case "i-09":
				ejected++
			}
		}
		Expect(fast).To(BeNumerically(">", 2*ejected+5))
	})
})
