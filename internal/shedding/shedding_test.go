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
		order := shedding.Arrange(shedding.Plan{}, lanes)
		var names []string
		for _, rung := range order.Rungs() {
			names = append(names, rung.Lanes...)
		}
		Expect(names).To(Equal([]string{"release", "urgent", "page", "pack"}))
	})

	It("is the same however the lanes are listed", func() {
		random := rand.New(rand.NewPCG(1, 2))
		plan := shedding.Plan{Name: "p", Tiers: []shedding.PlanTier{{Name: "gold", Order: 1, Hosts: []string{"B"}}, {Name: "rest", Order: 2, Hosts: []string{"a"}}}}
		var all []shedding.Lane
		for number := range 30 {
			all = append(all, shedding.Lane{Name: fmt.Sprint("l", number), Host: []string{"a", "b", "c"}[number%3], Priority: number % 4, Kind: shedding.Kind(number % 4)})
		}
		want := shedding.Arrange(plan, all).Rungs()
		for range 20 {
			random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			Expect(shedding.Arrange(plan, all).Rungs()).To(Equal(want))
		}
		Expect(want[0].Plan).To(Equal("gold"))
	})

	It("puts no keyed lane after a bulk one, whatever has become of the lanes", func() {
		plan := shedding.Plan{Name: "p", Tiers: []shedding.PlanTier{{Name: "gold", Order: 1, Hosts: []string{"a"}}}}
		order := shedding.Arrange(plan, []shedding.Lane{{Name: "pack", Host: "a", Kind: shedding.Bulk}, {Name: "fee", Host: "z", Kind: shedding.Keyed}})
		Expect(order.TierOf("fee")).To(BeNumerically("<", order.TierOf("pack")))
	})

	DescribeTable("a plan that is wrong is refused by name",
		func(plan shedding.Plan, reason string) {
			plan.Name = "p"
			Expect(plan.Check(append(lanes, shedding.Lane{Name: "far", Host: "z", Kind: shedding.Bulk}))).To(MatchError(ContainSubstring(reason)))
		},
		Entry("no tiers", shedding.Plan{}, "Tiers"),
		Entry("an unknown host", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Hosts: []string{"q"}}}}, "host q"),
		Entry("an unknown lane", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Lanes: []string{"q"}}}}, "lane q"),
		Entry("a lane in two tiers", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Lanes: []string{"page"}}, {Name: "b", Order: 2, Lanes: []string{"page"}}}}, "lane page"),
		Entry("one order twice", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1}, {Name: "b", Order: 1}}}, "tiers a and b"),
		Entry("a gap", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1}, {Name: "b", Order: 3}}}, "tier of order 2"),
		Entry("a keyed lane after a bulk one", shedding.Plan{Tiers: []shedding.PlanTier{{Name: "a", Order: 1, Hosts: []string{"z"}}}}, "keyed lane release"),
	)
})

var _ = Describe("a cutoff", func() {
	It("only adds when it is raised and only lets in when it is lowered", func() {
		const tiers = 4
		low := shedding.Cutoff{Seed: 7, Tier: 3, Part: 0.4}
		for _, high := range []shedding.Cutoff{{Seed: 7, Tier: 3, Part: 0.9}, {Seed: 7, Tier: 2, Part: 0.1}} {
			Expect(high.Height(tiers)).To(BeNumerically(">", low.Height(tiers)))
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
func (w *world) run(load float64, span time.Duration) {
	for end := w.hand.Now + span; w.hand.Now < end; {
		w.step(load)
	}
}

// disagreements counts, over many names, those on which nodes that work by one
// cutoff differ.
func (w *world) disagreements() (count int) {
	for number := range 600 {
		said, lane := map[uint64]bool{}, lanes[1+number%3].Name
		for _, n := range w.nodes {
			of := uint64(0)
			for _, cutoff := range n.cutoffs {
				of = cutoff.Number
			}
			isShed := w.verdict(n, lane, fmt.Sprint("name", number))
			if before, isKnown := said[of]; isKnown && before != isShed {
				count++
				break
			}
			said[of] = isShed
		}
	}
	return count
}

var _ = Describe("an overload of the whole cluster", func() {
	// rush is 2.5 times the capacity, with something that goes wrong in the middle.
	rush := func(seed uint64, middle func(*world)) *world {
		w := newWorld(seed, 12)
		w.run(0.7, 4*time.Second)
		w.run(2.5, 4*time.Second)
		middle(w)
		for range 12 {
			w.run(2.5, time.Second)
			if !w.isCut {
				Expect(w.disagreements()).To(BeZero(), "seed %d", seed)
			}
		}
		for key, runs := range w.ran {
			Expect(runs).To(Equal(1), "seed %d: %s", seed, key)
		}
		return w
	}
	middles := map[string]func(*world){
		"nothing more": func(*world) {},
		"the holder is lost": func(w *world) {
			w.holder = shedding.NewGauge(w.hand, w.random.Uint64)
			w.holder.Hold(w.heard(0))
		},
		"the holder is lost with all that it told": func(w *world) { w.holder = shedding.NewGauge(w.hand, w.random.Uint64) },
		"the core is cut off for a while": func(w *world) {
			w.isCut = true
			w.run(2.5, 5*time.Second)
			w.isCut = false
		},
		"half of the nodes start anew": func(w *world) {
			for number := range len(w.nodes) / 2 {
				w.nodes[number] = w.newNode()
			}
		},
		"news come late": func(w *world) {
			for _, n := range w.nodes {
				n.delay += 10 * tick
			}
		},
	}
	for name, middle := range middles {
		It("refuses the last tiers, runs each key once, and keeps the first ones in time, though "+name, func() {
			for seed := range uint64(4) {
				w := rush(seed, middle)
				for _, c := range w.counts {
					*c = count{}
				}
				w.run(2.5, 10*time.Second)
				share := func(lane string) float64 { return float64(w.counts[lane].served) / float64(w.counts[lane].asked) }
				Expect(share("release")).To(BeNumerically(">", 0.97), "seed %d", seed)
				Expect(share("urgent")).To(BeNumerically(">", 0.9), "seed %d", seed)
				Expect(share("pack")).To(BeNumerically("<", 0.3), "seed %d", seed)
				urgent := w.counts["urgent"]
				Expect(float64(urgent.late)/float64(urgent.served)).To(BeNumerically("<", 0.15), "seed %d", seed)
			}
		})
	}

	It("is over without a to and fro", func() {
		for seed := range uint64(6) {
			w := rush(seed, func(*world) {})
			w.run(0.7, 3*time.Second)
			raises, last := 0, 4.0
			for range 400 {
				w.run(0.7, tick)
				height := 0.0
				for _, cutoff := range w.holder.Cutoffs() {
					height = cutoff.Height(4)
				}
				if height > last+1e-9 {
					raises++
				}
				last = height
			}
			Expect(raises).To(BeNumerically("<=", 1), "seed %d", seed)
			Expect(w.holder.Cutoffs()).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("leaves nodes that each measure alone at odds: the check can fail", func() {
		w := newWorld(1, 12)
		w.isAlone = true
		w.run(0.7, 4*time.Second)
		w.run(2.5, 6*time.Second)
		Expect(w.disagreements()).To(BeNumerically(">", 10))
	})
})
