package sites_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/sites"
)

func TestSites(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sites")
}

var regions = map[string]string{"a": "east", "b": "east", "c": "west"}

var _ = Describe("Tree", func() {
	It("is built from the platform's zones, and fails over to siblings before other regions", func() {
		tree, err := sites.Build(regions, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(tree.FailoverOrder("a")).To(Equal([]string{"east", "b", "whole", "west", "c"}))
		Expect(tree.SiteOf("i-1", "c")).To(Equal("c"))
		Expect(tree.SiteOf("i-1", "nowhere")).To(Equal(sites.Root))
	})

	It("contains the smaller sites that the operator declares", func() {
		tree, err := sites.Build(regions, []sites.Site{
			{Name: "hall", Parent: "a", Servers: []string{"i-1"}, Capacity: map[string]int{"exams": 3}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(tree.SiteOf("i-1", "a")).To(Equal("hall"))
		Expect(tree.FailoverOrder("hall")[:3]).To(Equal([]string{"a", "east", "b"}))
		Expect(tree.EffectiveCapacity("hall", "exams", 8)).To(Equal(3))
		Expect(tree.EffectiveCapacity("hall", "other", 8)).To(Equal(8))
	})

	DescribeTable("rejects an invalid declaration with its name", func(message string, declared ...sites.Site) {
		_, err := sites.Build(regions, declared)
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("a cycle", "site x", sites.Site{Name: "x", Parent: "y"}, sites.Site{Name: "y", Parent: "x"}),
		Entry("an unknown parent", "unknown parent none", sites.Site{Name: "x", Parent: "none"}),
		Entry("two parents", "x, which is declared twice", sites.Site{Name: "x", Parent: "a"}, sites.Site{Name: "x", Parent: "b"}),
		Entry("a server in two sites", "server i-1", sites.Site{Name: "x", Servers: []string{"i-1"}}, sites.Site{Name: "y", Servers: []string{"i-1"}}),
		Entry("a negative capacity", "capacity -1", sites.Site{Name: "x", Capacity: map[string]int{"s": -1}}),
	)
})

var _ = Describe("the failure of a site under load", func() {
	maxExcess := func(s *simulation) (worst int) {
		for _, count := range s.maxExcess {
			worst = max(worst, count)
		}
		return worst
	}

	It("sends requests to other sites without exceeding their capacity, even if reports and leases are late or lost", func() {
		for seed := range uint64(25) {
			s := newSimulation(seed, true)
			s.run(4 * time.Second)
			s.failSite("a")
			s.run(1 * time.Second)
			servedBefore := s.served[true]
			rejected := s.rejected[true]
			s.run(3 * time.Second)
			Expect(maxExcess(s)).To(BeNumerically("<=", 0), "seed %d", seed)
			// Once leases are granted, requests of high priority find slots.
			served := s.served[true] - servedBefore
			Expect(float64(s.rejected[true]-rejected)).To(BeNumerically("<", 0.25*float64(served)), "seed %d", seed)
		}
	})

	It("exceeds the capacity of other sites without leases, so the check above can fail", func() {
		failed := 0
		for seed := range uint64(25) {
			s := newSimulation(seed, false)
			s.run(4 * time.Second)
			s.failSite("a")
			s.run(4 * time.Second)
			if maxExcess(s) > 0 {
				failed++
			}
		}
		Expect(failed).To(BeNumerically(">", 20))
	})

	It("exceeds no capacity if two sites fail at once, all capacity is too small and the leader is lost meanwhile", func() {
		for seed := range uint64(25) {
			s := newSimulation(seed, true)
			s.run(4 * time.Second)
			s.failSite("a")
			s.failSite("c")
			s.run(time.Second)
			s.allocatorDown = true
			s.run(time.Second)
			s.allocatorDown = false
			s.startAllocator()
			s.run(4 * time.Second)
			Expect(maxExcess(s)).To(BeNumerically("<=", 0), "seed %d", seed)
			// Requests of low priority are rejected first.
			share := func(highPriority bool) float64 {
				return float64(s.rejected[highPriority]) / float64(s.rejected[highPriority]+s.served[highPriority])
			}
			Expect(share(true)).To(BeNumerically("<", share(false)))
		}
	})

	It("ends when the site recovers: its requests return to it", func() {
		s := newSimulation(3, true)
		s.run(3 * time.Second)
		s.failSite("a")
		s.run(2 * time.Second)
		s.capacity["a"] = 40
		s.updateCapacity()
		s.run(3 * time.Second)
		Expect(maxExcess(s)).To(BeNumerically("<=", 0))
		for _, status := range s.allocator.Statuses() {
			if status.Site == "b" || status.Site == "c" {
				Expect(status.RemoteBySite).NotTo(HaveKey("a"))
			}
		}
	})
})

var _ = Describe("a site whose own requests come in bursts", func() {
	const capacity, burst = 16, 4
	var clk *clock.Manual
	var allocator *sites.Allocator
	var own, other *sites.NodeLeases

	// report passes a node's usages to the allocator and its leases back.
	report := func(name, site string, leases *sites.NodeLeases) {
		sentAt := clk.Monotonic()
		leases.Apply(allocator.HandleReport(name, site, leases.Usages()), sentAt)
	}
	acquire := func(leases *sites.NodeLeases, localSite string, count int) (releases []func()) {
		for range count {
			if release, acquired := leases.Acquire("s", "b", localSite, 1); acquired {
				releases = append(releases, release)
			}
		}
		return releases
	}

	// Guards against leases that leave no room for a site's own requests because none was in flight at the moment of its report.
	It("keeps the slots of the last burst free, though the site is idle whenever it reports", func() {
		clk = &clock.Manual{Now: time.Hour}
		tree, err := sites.Build(regions, nil)
		Expect(err).NotTo(HaveOccurred())
		allocator = sites.NewAllocator(tree, clk)
		allocator.Update(tree, map[sites.Key]int{{Service: "s", Site: "b"}: capacity})
		own, other = sites.NewNodeLeases(clk), sites.NewNodeLeases(clk)
		clk.Sleep(2 * sites.LeaseDuration)
		for range 20 {
			for _, release := range acquire(own, "b", burst) {
				release()
			}
			clk.Sleep(300 * time.Millisecond)
			report("own", "b", own)
			for range capacity {
				other.RecordRejection("s", time.Second)
			}
			report("other", "a", other)
			used := acquire(other, "a", capacity)
			Expect(len(used) + burst).To(BeNumerically("<=", capacity))
			Expect(used).NotTo(BeEmpty())
			for _, release := range used {
				release()
			}
		}
	})

	// Guards against a site whose nodes of an older build count for nothing beside newer ones.
	It("counts the requests in flight of nodes that report no average beside the averages of others", func() {
		clk = &clock.Manual{Now: time.Hour}
		tree, err := sites.Build(regions, nil)
		Expect(err).NotTo(HaveOccurred())
		allocator = sites.NewAllocator(tree, clk)
		allocator.Update(tree, map[sites.Key]int{{Service: "s", Site: "b"}: capacity})
		clk.Sleep(2 * sites.LeaseDuration)
		const older, newer = 6, 1
		allocator.HandleReport("older", "b", []sites.Usage{{Service: "s", Site: "b", InFlight: older}})
		allocator.HandleReport("newer", "b", []sites.Usage{{Service: "s", Site: "b", InFlight: newer, Average: newer, Peak: newer}})
		leased := 0
		for _, lease := range allocator.HandleReport("other", "a", []sites.Usage{{Service: "s", Wanted: capacity}}) {
			leased += lease.Slots
		}
		Expect(leased).To(BeNumerically(">", 0))
		Expect(leased + older + newer).To(BeNumerically("<=", capacity))
	})
})
