package balancer_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

var _ = Describe("an update of latency ratios and ejections alone", func() {
	It("keeps the home servers and changes the costs of the servers", func() {
		fleet := feed.Fleet{Term: 1, Count: 1}
		for id := range 40 {
			fleet.Servers = append(fleet.Servers, feed.Server{ID: fmt.Sprintf("i-%02d", id), Service: "s", Cell: "a", Capacity: 2, IsReady: true, Pace: 8})
		}
		set := balancer.NewServerSet(balancer.Locality{Node: "n", Zone: "a"}).WithFleet(fleet)
		homes := map[string]*balancer.Endpoint{}
		for id := range 20 {
			homes[fmt.Sprint(id)] = set.HomeServer("s", balancer.RingPositionOf(fmt.Sprint(id)))
		}
		next := feed.Fleet{Term: 1, Count: 2, Servers: slices.Clone(fleet.Servers)}
		for i := range next.Servers {
			next.Servers[i].Pace = 40
		}
		next.Servers[7].Pace, next.Servers[9].IsAside = 1, true
		updated := set.WithFleet(next)
		for id, home := range homes {
			Expect(updated.HomeServer("s", balancer.RingPositionOf(id))).To(BeIdenticalTo(home))
		}
		set.UpdateHealth(next)
		ejected, fast := 0, 0
		for range 400 {
			switch set.Choose(balancer.Criteria{Service: "s", UsualLatency: 100 * time.Millisecond}, &timetable.Hand{}).ID {
			case "i-07":
				fast++
			case "i-09":
				ejected++
			}
		}
		Expect(fast).To(BeNumerically(">", 2*ejected+5))
	})
})
