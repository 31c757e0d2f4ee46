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
	It("goes by priority, and among equals keeps keyed lanes, then reads, then bulk", func() {
		order := shedding.NewOrder(shedding.Plan{}, routes)
		var names []string
		for _, tier := range order.Tiers() {
			names = append(names, tier.Routes...)
		}
		Expect(names).To(Equal([]string{"release", "urgent", "page", "pack"}))
	})

	It("is the same however the lanes are listed", func() {
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

	It("puts no keyed lane after a bulk one, whatever has become of the lanes", func() {
		plan := shedding.Plan{Name: "p", Tiers: []shedding.PlanTier{{Name: "gold", Order: 1, Hosts: []string{"a"}}}}
		order := shedding.NewOrder(plan, []shedding.Route{{Name: "pack", Host: "a", Kind: shedding.Bulk}, {Name: "fee", Host: "z", Kind: shedding.Keyed}})
		Expect(order.TierOf("fee")).To(BeNumerically("<", order.TierOf("pack")))
	})

	DescribeTable("a plan that is wrong is refused by name",
		func(plan shedding.Plan, reason string) {
			plan.Name = "p"
			Expect(plan.Check(append(routes, shedding.Route{Name: "far", Host: "z", Kind: shedding.Bulk}))).To(MatchError(ContainSubstring(reason)))
		},
		Entry("no tiers", shedding.Plan{}, "Tiers"),
		Entry("an unknown host", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Hosts: []string{"q"}}}}, "host q"),
		Entry("an unknown lane", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Routes: []string{"q"}}}}, "lane q"),
		Entry("a lane in two tiers", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Routes: []string{"page"}}, {Name: "b", Order: 2, Routes: []string{"page"}}}}, "lane page"),
		Entry("one order twice", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1}, {Name: "b", Order: 1}}}, "tiers a and b"),
		Entry("a gap", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1}, {Name: "b", Order: 3}}}, "tier of order 2"),
		Entry("a keyed lane after a bulk one", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Hosts: []string{"z"}}}}, "keyed lane release"),
	)
})

var _ = Describe("a cutoff", func() {
	It("only adds when it is raised and only lets in when it is lowered", func() {
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

// overload runs a world at the load for some seconds.
func (sim *simulation) run(load float64, span time.Duration) {
	for end := sim.clock.Now + span; sim.clock.Now < end; {
		sim.step(load)
	}
}

// disagreements counts, over many names, those on which nodes that work by one
// cutoff differ.
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
	// rush is 2.5 times the capacity, with something that goes wrong in the middle.
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
		"nothing more": func(*simulation) {},
		"the holder is lost": func(sim *simulation) {
			sim.leader = shedding.NewGauge(sim.clock, sim.random.Uint64)
			sim.leader.Restore(sim.cutoffsAfter(0))
		},
		"the holder is lost with all that it told": func(sim *simulation) { sim.leader = shedding.NewGauge(sim.clock, sim.random.Uint64) },
		"the core is cut off for a while": func(sim *simulation) {
			sim.partitioned = true
			sim.run(2.5, 5*time.Second)
			sim.partitioned = false
		},
		"half of the nodes start anew": func(sim *simulation) {
			for number := range len(sim.nodes) / 2 {
				sim.nodes[number] = sim.newNode()
			}
		},
		"news come late": func(sim *simulation) {
			for _, n := range sim.nodes {
				n.delay += 10 * tick
			}
		},
	}
	for name, fault := range faults {
		It("refuses the last tiers, runs each key once, and keeps the first ones in time, though "+name, func() {
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

	It("is over without a to and fro", func() {
		for seed := range uint64(6) {
			sim := overload(seed, func(*simulation) {})
			sim.run(0.7, 3*time.Second)
			raises, last := 0, 4.0
			for range 400 {
				sim.run(0.7, tick)
				height := 0.0
				for _, cutoff := range sim.leader.Cutoffs() {
					height = cutoff.Level(4)
				}
				if height > last+1e-9 {
					raises++
				}
				last = height
			}
			Expect(raises).To(BeNumerically("<=", 1), "seed %d", seed)
			Expect(sim.leader.Cutoffs()).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("leaves nodes that each measure alone at odds: the check can fail", func() {
		sim := newSimulation(1, 12)
		sim.localOnly = true
		sim.run(0.7, 4*time.Second)
		sim.run(2.5, 6*time.Second)
		Expect(sim.disagreements()).To(BeNumerically(">", 10))
	})
})
