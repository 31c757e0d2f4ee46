package shedding_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/shedding"
)

func TestShedding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shedding")
}

var _ = Describe("the order of tiers", func() {
	It("follows priority, and within a priority rejects bulk routes first, then reads, then keyed routes", func() {
		order := shedding.NewOrder(shedding.Plan{}, routes)
		var names []string
		for _, tier := range order.Tiers() {
			names = append(names, tier.Routes...)
		}
		Expect(names).To(Equal([]string{"release", "urgent", "page", "pack"}))
	})

	It("does not depend on the order in which the routes are listed", func() {
		random := rand.New(rand.NewPCG(1, 2))
		plan := shedding.Plan{Name: "p", Tiers: []shedding.PlanTier{{Name: "gold", Order: 1, Hosts: []string{"B"}}, {Name: "rest", Order: 2, Hosts: []string{"a"}}}}
		var all []shedding.Route
		for number := range 30 {
			all = append(all, shedding.Route{Name: fmt.Sprint("l", number), Host: []string{"a", "b", "c"}[number%3], Priority: number % 4, Kind: shedding.Kind(number % 4)})
		}
		want := shedding.NewOrder(plan, all).Tiers()
		for range 20 {
			random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			Expect(shedding.NewOrder(plan, all).Tiers()).To(Equal(want))
		}
		Expect(want[0].Plan).To(Equal("gold"))
	})

	It("puts no keyed route after a bulk one, even if the routes changed after the plan was checked", func() {
		plan := shedding.Plan{Name: "p", Tiers: []shedding.PlanTier{{Name: "gold", Order: 1, Hosts: []string{"a"}}}}
		order := shedding.NewOrder(plan, []shedding.Route{{Name: "pack", Host: "a", Kind: shedding.Bulk}, {Name: "fee", Host: "z", Kind: shedding.Keyed}})
		Expect(order.TierOf("fee")).To(BeNumerically("<", order.TierOf("pack")))
	})

	DescribeTable("rejects an invalid plan and names the fault",
		func(plan shedding.Plan, reason string) {
			plan.Name = "p"
			Expect(plan.Check(append(routes, shedding.Route{Name: "far", Host: "z", Kind: shedding.Bulk}))).To(MatchError(ContainSubstring(reason)))
		},
		Entry("no tiers", shedding.Plan{}, "Tiers"),
		Entry("an unknown host", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Hosts: []string{"q"}}}}, "host q"),
		Entry("an unknown route", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Routes: []string{"q"}}}}, "route q"),
		Entry("a route in two tiers", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Routes: []string{"page"}}, {Name: "b", Order: 2, Routes: []string{"page"}}}}, "route page"),
		Entry("two tiers of the same order", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1}, {Name: "b", Order: 1}}}, "tiers a and b"),
		Entry("a gap in the orders", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1}, {Name: "b", Order: 3}}}, "tier of order 2"),
		Entry("a keyed route after a bulk one", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Hosts: []string{"z"}}}}, "keyed route release"),
	)
})

var _ = Describe("a cutoff", func() {
	It("rejects all requests of the lower cutoff when it is raised, and no new ones when it is lowered", func() {
		const tiers = 4
		low := shedding.Cutoff{Seed: 7, Tier: 3, Fraction: 0.4}
		for _, high := range []shedding.Cutoff{{Seed: 7, Tier: 3, Fraction: 0.9}, {Seed: 7, Tier: 2, Fraction: 0.1}} {
			Expect(high.Level(tiers)).To(BeNumerically(">", low.Level(tiers)))
			shed := 0
			for number := range 4000 {
				tier, name := shedding.Tier(number%tiers), fmt.Sprint("k", number)
				if low.Sheds(tier, "h", name) {
					shed++
					Expect(high.Sheds(tier, "h", name)).To(BeTrue())
				}
			}
			Expect(shed).To(BeNumerically("~", 400, 60))
		}
	})
})

// run simulates the load for the duration.
func (sim *simulation) run(load float64, span time.Duration) {
	for end := sim.clock.Now + span; sim.clock.Now < end; {
		sim.step(load)
	}
}

// disagreements counts the sampled names for which nodes with the same cutoff decide
// differently.
func (sim *simulation) disagreements() (count int) {
	for number := range 600 {
		decisions, route := map[uint64]bool{}, routes[1+number%3].Name
		for _, n := range sim.nodes {
			version := uint64(0)
			for _, cutoff := range n.cutoffs {
				version = cutoff.Number
			}
			rejected := sim.rejects(n, route, fmt.Sprint("name", number))
			if before, known := decisions[version]; known && before != rejected {
				count++
				break
			}
			decisions[version] = rejected
		}
	}
	return count
}

var _ = Describe("an overload of the whole cluster", func() {
	// overload simulates 2.5 times the capacity, with a fault in the middle.
	overload := func(seed uint64, fault func(*simulation)) *simulation {
		sim := newSimulation(seed, 12)
		sim.run(0.7, 4*time.Second)
		sim.run(2.5, 4*time.Second)
		fault(sim)
		for range 12 {
			sim.run(2.5, time.Second)
			if !sim.partitioned {
				Expect(sim.disagreements()).To(BeZero(), "seed %d", seed)
			}
		}
		for key, runs := range sim.executions {
			Expect(runs).To(Equal(1), "seed %d: %s", seed, key)
		}
		return sim
	}
	faults := map[string]func(*simulation){
		"nothing else fails": func(*simulation) {},
		"the leader is replaced": func(sim *simulation) {
			sim.leader = shedding.NewController(sim.clock, sim.random.Uint64)
			sim.leader.Restore(sim.cutoffsAfter(0))
		},
		"the leader and its published cutoffs are lost": func(sim *simulation) { sim.leader = shedding.NewController(sim.clock, sim.random.Uint64) },
		"the control plane is unreachable for 5 seconds": func(sim *simulation) {
			sim.partitioned = true
			sim.run(2.5, 5*time.Second)
			sim.partitioned = false
		},
		"half of the nodes restart": func(sim *simulation) {
			for number := range len(sim.nodes) / 2 {
				sim.nodes[number] = sim.newNode()
			}
		},
		"updates arrive late": func(sim *simulation) {
			for _, n := range sim.nodes {
				n.delay += 10 * tick
			}
		},
	}
	for name, fault := range faults {
		It("rejects the last tiers, executes each key once, and serves the first tiers in time when "+name, func() {
			for seed := range uint64(4) {
				sim := overload(seed, fault)
				for _, c := range sim.counts {
					*c = count{}
				}
				sim.run(2.5, 10*time.Second)
				share := func(route string) float64 {
					return float64(sim.counts[route].served) / float64(sim.counts[route].requested)
				}
				Expect(share("release")).To(BeNumerically(">", 0.97), "seed %d", seed)
				Expect(share("urgent")).To(BeNumerically(">", 0.9), "seed %d", seed)
				Expect(share("pack")).To(BeNumerically("<", 0.3), "seed %d", seed)
				urgent := sim.counts["urgent"]
				Expect(float64(urgent.late)/float64(urgent.served)).To(BeNumerically("<", 0.15), "seed %d", seed)
			}
		})
	}

	It("ends without the cutoff oscillating", func() {
		for seed := range uint64(6) {
			sim := overload(seed, func(*simulation) {})
			sim.run(0.7, 3*time.Second)
			raises, last := 0, 4.0
			for range 400 {
				sim.run(0.7, tick)
				level := 0.0
				for _, cutoff := range sim.leader.Cutoffs() {
					level = cutoff.Level(4)
				}
				if level > last+1e-9 {
					raises++
				}
				last = level
			}
			Expect(raises).To(BeNumerically("<=", 1), "seed %d", seed)
			Expect(sim.leader.Cutoffs()).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("makes nodes disagree that each use their own controller, which shows that the check can fail", func() {
		sim := newSimulation(1, 12)
		sim.localOnly = true
		sim.run(0.7, 4*time.Second)
		sim.run(2.5, 6*time.Second)
		Expect(sim.disagreements()).To(BeNumerically(">", 10))
	})
})
