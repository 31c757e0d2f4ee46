package sites_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/sites"
)

func TestSites(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sites")
}

var regions = map[string]string{"a": "east", "b": "east", "c": "west"}

var _ = Describe("the tree", func() {
	It("is laid from the platform's cells, and passes up: siblings before strangers", func() {
		tree, err := sites.Build(regions, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(tree.FailoverOrder("a")).To(Equal([]string{"east", "b", "whole", "west", "c"}))
		Expect(tree.SiteOf("i-1", "c")).To(Equal("c"))
		Expect(tree.SiteOf("i-1", "nowhere")).To(Equal(sites.Root))
	})

	It("takes finer sites from the operator", func() {
		tree, err := sites.Build(regions, []sites.Site{
			{Name: "hall", Parent: "a", Servers: []string{"i-1"}, Capacity: map[string]int{"exams": 3}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(tree.SiteOf("i-1", "a")).To(Equal("hall"))
		Expect(tree.FailoverOrder("hall")[:3]).To(Equal([]string{"a", "east", "b"}))
		Expect(tree.EffectiveCapacity("hall", "exams", 8)).To(Equal(3))
		Expect(tree.EffectiveCapacity("hall", "other", 8)).To(Equal(8))
	})

	DescribeTable("refuses by name what does not fit", func(message string, declared ...sites.Site) {
		_, err := sites.Build(regions, declared)
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("a cycle", "site x", sites.Site{Name: "x", Parent: "y"}, sites.Site{Name: "y", Parent: "x"}),
		Entry("an unknown parent", "unknown parent none", sites.Site{Name: "x", Parent: "none"}),
		Entry("two parents", "x, which is there twice", sites.Site{Name: "x", Parent: "a"}, sites.Site{Name: "x", Parent: "b"}),
		Entry("a server in two sites", "server i-1", sites.Site{Name: "x", Servers: []string{"i-1"}}, sites.Site{Name: "y", Servers: []string{"i-1"}}),
		Entry("a negative capacity", "capacity -1", sites.Site{Name: "x", Capacity: map[string]int{"s": -1}}),
	)
})

var _ = Describe("a site that falls away in the rush", func() {
	maxExcess := func(s *simulation) (worst int) {
		for _, count := range s.maxExcess {
			worst = max(worst, count)
		}
		return worst
	}

	It("passes its callers on, and overruns nobody, however late the news is", func() {
		for seed := range uint64(25) {
			s := newSimulation(seed, true)
			s.run(4 * time.Second)
			s.failSite("a")
			s.run(1 * time.Second)
			servedBefore := s.served[true]
			rejected := s.rejected[true]
			s.run(3 * time.Second)
			Expect(maxExcess(s)).To(BeNumerically("<=", 0), "seed %d", seed)
			// Once the lots are out, urgent inquiries find their place.
			served := s.served[true] - servedBefore
			Expect(float64(s.rejected[true]-rejected)).To(BeNumerically("<", 0.25*float64(served)), "seed %d", seed)
		}
	})

	It("overruns its neighbours without the lots: the check can fail", func() {
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

	It("holds with two sites gone at once, too little room everywhere, and the holder lost in the middle", func() {
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
			// The less urgent are turned away first.
			share := func(highPriority bool) float64 {
				return float64(s.rejected[highPriority]) / float64(s.rejected[highPriority]+s.served[highPriority])
			}
			Expect(share(true)).To(BeNumerically("<", share(false)))
		}
	})

	It("is come home to, and then its room is its own again", func() {
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
