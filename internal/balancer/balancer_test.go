package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

func TestBalancer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balancer")
}

var _ = Describe("the budget", func() {
	It("leaves all nodes together under the common slack, however many they are", func() {
		for _, proxies := range []int{1, 12, 71, 285, 4000} {
			Expect(float64(proxies) * balancer.Floor(610, proxies)).To(BeNumerically("<=", 305.001))
		}
		Expect(balancer.Floor(64, 0)).To(BeNumerically("~", 1.6))
	})

	It("never lets the tries of any window pass its share of what was asked", func() {
		const ratio, floor, window = 0.2, 2.0, 10 * time.Second
		random := rand.New(rand.NewPCG(6, 6))
		hand := &clock.Manual{}
		budget := balancer.NewBudget(ratio, window, func() float64 { return floor }, hand)
		var asked, spent []time.Duration
		within := func(times []time.Duration, from time.Duration) (count float64) {
			for _, at := range times {
				if at > from {
					count++
				}
			}
			return count
		}
		granted := 0
		for range 6000 {
			hand.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			if random.IntN(300) == 0 {
				hand.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			if random.IntN(3) > 0 {
				budget.Ask()
				asked = append(asked, hand.Now)
			} else if budget.Spend() {
				granted++
				spent = append(spent, hand.Now)
			}
			// The rule's own count: what was asked in that window, the one
			// before it, or the one half a window before it. The budget's
			// steps are a little coarser than the window.
			most := 0.0
			for _, back := range []time.Duration{0, window / 2, window} {
				from := hand.Now - window - back
				most = max(most, within(asked, from-window/19)-within(asked, from+window))
			}
			Expect(within(spent, hand.Now-window)).To(BeNumerically("<=", most*ratio+floor))
		}
		Expect(granted).To(BeNumerically(">", 400))
	})
})

func fleet(servers ...feed.Server) feed.Fleet { return feed.Fleet{Servers: servers} }

var here = balancer.NewYard(balancer.Home{Node: "n", Cell: "c1"})

func server(id, cell string) feed.Server {
	return feed.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: cell, Capacity: 2, IsReady: true}
}

func chosen(yard *balancer.Yard, wish balancer.Wish, hand *clock.Manual) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if siding := yard.Choose(wish, hand); siding != nil {
			counts[siding.ID]++
		}
	}
	return counts
}

var _ = Describe("the choice of a server", func() {
	It("heeds draining, failures, full servers, strangers and cells", func() {
		hand := &clock.Manual{}
		wish := balancer.Wish{Service: "s", Crossing: 5 * time.Millisecond}
		draining := server("d", "c1")
		draining.IsReady = false
		yard := here.Lay(fleet(server("a", "c1"), server("b", "c2"), draining))
		Expect(chosen(yard, wish, hand)).To(Equal(map[string]int{"a": 200}))
		near := yard.Choose(wish, hand)
		near.Begin()
		near.End(balancer.Failed, time.Second, 0, hand.Monotonic())
		Expect(chosen(yard, wish, hand)).To(Equal(map[string]int{"b": 200}))
		hand.Sleep(time.Second)
		Expect(chosen(yard, wish, hand)).To(Equal(map[string]int{"a": 200}))
		near.Begin()
		near.End(balancer.Misdirected, 0, 0, hand.Monotonic())
		Expect(chosen(yard, wish, hand)).To(Equal(map[string]int{"b": 200}))
		wish.Passed = []*balancer.Siding{yard.Choose(wish, hand)}
		Expect(yard.Choose(wish, hand)).To(BeNil())
	})

	It("sends less to a server that is slow, warming or busy", func() {
		hand := &clock.Manual{}
		warming := server("w", "c1")
		warming.WarmupEndMs = hand.Wall().Add(time.Second).UnixMilli()
		yard := here.Lay(fleet(server("a", "c1"), warming))
		wish := balancer.Wish{Service: "s"}
		Expect(chosen(yard, wish, hand)).To(Equal(map[string]int{"a": 200}))
		busy := yard.Choose(wish, hand)
		for range 4 {
			busy.Begin()
		}
		Expect(chosen(yard, wish, hand)["w"]).To(Equal(200))
	})

	It("holds no more at a server than its part of the server's connections", func() {
		hand := &clock.Manual{}
		yard := here.Lay(fleet(server("a", "c1")))
		wish := balancer.Wish{Service: "s", Limit: 2}
		first := yard.Choose(wish, hand)
		first.Begin()
		yard.Choose(wish, hand).Begin()
		Expect(yard.Choose(wish, hand)).To(BeNil())
		wish.IsPlaced = true
		Expect(yard.Choose(wish, hand)).To(BeNil())
		first.End(balancer.Served, time.Millisecond, 0, hand.Monotonic())
		Expect(yard.Choose(wish, hand)).NotTo(BeNil())
	})

	It("knows a fallen site by what is left of it, and by what fails, not by what is busy", func() {
		hand := &clock.Manual{}
		yard := here.Lay(fleet(server("a", "c1"), server("b", "c1"), server("z", "c2")))
		wish := balancer.Wish{Service: "s"}
		Expect(yard.IsFallen("s")).To(BeFalse())
		first := yard.Choose(wish, hand)
		first.Begin()
		first.End(balancer.Full, 0, 0, hand.Monotonic())
		Expect(yard.IsFallen("s")).To(BeFalse())
		first.Begin()
		first.End(balancer.Failed, 0, 0, hand.Monotonic())
		Expect(yard.IsFallen("s")).To(BeTrue())
		first.Begin()
		first.End(balancer.Served, time.Millisecond, 0, hand.Monotonic())
		Expect(yard.IsFallen("s")).To(BeFalse())
		Expect(yard.Lay(fleet(server("z", "c2"))).IsFallen("s")).To(BeTrue())
		Expect(here.Lay(fleet(server("z", "c2"))).IsFallen("s")).To(BeFalse())
	})

	It("keeps what it learnt of a server when the list says something new", func() {
		hand := &clock.Manual{}
		yard := here.Lay(fleet(server("a", "c1")))
		yard.Choose(balancer.Wish{Service: "s"}, hand).End(balancer.Misdirected, 0, 0, 0)
		changed := server("a", "c1")
		changed.Capacity = 9
		Expect(yard.Lay(fleet(changed)).Choose(balancer.Wish{Service: "s"}, hand)).To(BeNil())
	})
})
