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

var _ = Describe("the retry budget", func() {
	It("keeps the sum over all nodes within the common slack for any number of nodes", func() {
		for _, proxies := range []int{1, 12, 71, 285, 4000} {
			Expect(float64(proxies) * balancer.SlackPerProxy(610, proxies)).To(BeNumerically("<=", 305.001))
		}
		Expect(balancer.SlackPerProxy(64, 0)).To(BeNumerically("~", 1.6))
	})

	It("never allows more retries in a window than its share of the requests", func() {
		const ratio, floor, window = 0.2, 2.0, 10 * time.Second
		random := rand.New(rand.NewPCG(6, 6))
		clock := &clock.Manual{}
		budget := balancer.NewRetryBudget(ratio, window, func() float64 { return floor }, clock)
		var requests, retries []time.Duration
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
			clock.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			if random.IntN(300) == 0 {
				clock.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			if random.IntN(3) > 0 {
				budget.RecordRequest()
				requests = append(requests, clock.Now)
			} else if budget.TakeRetry() {
				granted++
				retries = append(retries, clock.Now)
			}
			// The rule counts the requests of the same window, of the previous
			// one or of the one half a window earlier. The budget's buckets span
			// slightly more than the window.
			allowed := 0.0
			for _, offset := range []time.Duration{0, window / 2, window} {
				from := clock.Now - window - offset
				allowed = max(allowed, within(requests, from-window/19)-within(requests, from+window))
			}
			Expect(within(retries, clock.Now-window)).To(BeNumerically("<=", allowed*ratio+floor))
		}
		Expect(granted).To(BeNumerically(">", 400))
	})
})

func fleet(servers ...feed.Server) feed.Fleet { return feed.Fleet{Servers: servers} }

var emptySet = balancer.NewServerSet(balancer.Locality{Node: "n", Zone: "c1"})

func server(id, zone string) feed.Server {
	return feed.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zone, Capacity: 2, IsReady: true}
}

func countChoices(set *balancer.ServerSet, criteria balancer.Criteria, clock *clock.Manual) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if endpoint := set.Choose(criteria, clock); endpoint != nil {
			counts[endpoint.ID]++
		}
	}
	return counts
}

var _ = Describe("Choose", func() {
	It("respects readiness, failures, misdirected responses, earlier attempts and zones", func() {
		clock := &clock.Manual{}
		criteria := balancer.Criteria{Service: "s", ZoneCost: 5 * time.Millisecond}
		draining := server("d", "c1")
		draining.IsReady = false
		set := emptySet.WithFleet(fleet(server("a", "c1"), server("b", "c2"), draining))
		Expect(countChoices(set, criteria, clock)).To(Equal(map[string]int{"a": 200}))
		local := set.Choose(criteria, clock)
		local.Begin()
		local.End(balancer.Failed, time.Second, 0, clock.Monotonic())
		Expect(countChoices(set, criteria, clock)).To(Equal(map[string]int{"b": 200}))
		clock.Sleep(time.Second)
		Expect(countChoices(set, criteria, clock)).To(Equal(map[string]int{"a": 200}))
		local.Begin()
		local.End(balancer.Misdirected, 0, 0, clock.Monotonic())
		Expect(countChoices(set, criteria, clock)).To(Equal(map[string]int{"b": 200}))
		criteria.Tried = []*balancer.Endpoint{set.Choose(criteria, clock)}
		Expect(set.Choose(criteria, clock)).To(BeNil())
	})

	It("prefers servers that are neither warming nor busy", func() {
		clock := &clock.Manual{}
		warming := server("w", "c1")
		warming.WarmupEndMs = clock.Wall().Add(time.Second).UnixMilli()
		set := emptySet.WithFleet(fleet(server("a", "c1"), warming))
		criteria := balancer.Criteria{Service: "s"}
		Expect(countChoices(set, criteria, clock)).To(Equal(map[string]int{"a": 200}))
		busy := set.Choose(criteria, clock)
		for range 4 {
			busy.Begin()
		}
		Expect(countChoices(set, criteria, clock)["w"]).To(Equal(200))
	})

	It("does not exceed the limit of requests in flight to a server", func() {
		clock := &clock.Manual{}
		set := emptySet.WithFleet(fleet(server("a", "c1")))
		criteria := balancer.Criteria{Service: "s", MaxInFlight: 2}
		first := set.Choose(criteria, clock)
		first.Begin()
		set.Choose(criteria, clock).Begin()
		Expect(set.Choose(criteria, clock)).To(BeNil())
		criteria.HasPosition = true
		Expect(set.Choose(criteria, clock)).To(BeNil())
		first.End(balancer.Served, time.Millisecond, 0, clock.Monotonic())
		Expect(set.Choose(criteria, clock)).NotTo(BeNil())
	})

	It("counts the local zone as degraded by lost and failing servers, not by overloaded ones", func() {
		clock := &clock.Manual{}
		set := emptySet.WithFleet(fleet(server("a", "c1"), server("b", "c1"), server("z", "c2")))
		criteria := balancer.Criteria{Service: "s"}
		Expect(set.LocalZoneDegraded("s")).To(BeFalse())
		first := set.Choose(criteria, clock)
		first.Begin()
		first.End(balancer.Overloaded, 0, 0, clock.Monotonic())
		Expect(set.LocalZoneDegraded("s")).To(BeFalse())
		first.Begin()
		first.End(balancer.Failed, 0, 0, clock.Monotonic())
		Expect(set.LocalZoneDegraded("s")).To(BeTrue())
		first.Begin()
		first.End(balancer.Served, time.Millisecond, 0, clock.Monotonic())
		Expect(set.LocalZoneDegraded("s")).To(BeFalse())
		Expect(set.WithFleet(fleet(server("z", "c2"))).LocalZoneDegraded("s")).To(BeTrue())
		Expect(emptySet.WithFleet(fleet(server("z", "c2"))).LocalZoneDegraded("s")).To(BeFalse())
	})

	It("keeps the observed state of a server when its listing changes", func() {
		clock := &clock.Manual{}
		set := emptySet.WithFleet(fleet(server("a", "c1")))
		set.Choose(balancer.Criteria{Service: "s"}, clock).End(balancer.Misdirected, 0, 0, 0)
		changed := server("a", "c1")
		changed.Capacity = 9
		Expect(set.WithFleet(fleet(changed)).Choose(balancer.Criteria{Service: "s"}, clock)).To(BeNil())
	})
})
