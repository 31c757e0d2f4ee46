package shedding_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/shedding"
)

var _ = Describe("a fault that does not overload the whole service", func() {
	It("includes one failing server, and one node whose attempts are rejected", func() {
		sim := newSimulation(3, 12)
		sim.servers[0].failing = true
		sim.run(0.7, 10*time.Second)
		Expect(sim.leader.Cutoffs()).To(BeEmpty())
		controller := shedding.NewController(sim.clock, sim.random.Uint64)
		for range 20 {
			sim.clock.Now += 250 * time.Millisecond
			for number := range 10 {
				load := shedding.Load{Service: "s", Offered: 20, Sent: 20}
				if number == 0 {
					load.Rejected = 20
				}
				controller.Add(fmt.Sprint(number), []shedding.Load{load})
			}
			Expect(controller.Decide(func(string) float64 { return 1 })).To(BeFalse())
		}
	})

	It("includes keyed operations that are late or sometimes rejected: they are shed only if servers reject most of them", func() {
		for rejected, expectShed := range map[uint32]bool{0: false, 20: false, 45: false, 60: true} {
			clock := &clock.Manual{Now: time.Hour}
			controller := shedding.NewController(clock, func() uint64 { return 5 })
			for range 40 {
				clock.Now += 250 * time.Millisecond
				load := shedding.Load{Service: "s", Offered: 100, Sent: 100, Late: 60 - rejected, Rejected: rejected, Keyed: true}
				controller.Add("a", []shedding.Load{load})
				controller.Decide(func(string) float64 { return 1 })
			}
			shed := 0
			for _, cutoff := range controller.Cutoffs() {
				for number := range 1000 {
					if cutoff.Sheds(0, "h", fmt.Sprint(number)) {
						shed++
					}
				}
			}
			Expect(shed > 0).To(Equal(expectShed), "%d rejected", rejected)
		}
	})

	It("does not return to an older cutoff number when the leader changes", func() {
		clock := &clock.Manual{Now: time.Hour}
		controller := shedding.NewController(clock, func() uint64 { return 5 })
		controller.Restore([]shedding.Cutoff{{Service: "s", Number: 41, Seed: 9, Tier: 1, Fraction: 0.5}})
		for range 40 {
			clock.Now += 250 * time.Millisecond
			controller.Add("a", []shedding.Load{{Service: "s", Tier: 1, Offered: 100, Sent: 60, Rejected: 40}})
			controller.Decide(func(string) float64 { return 1 })
		}
		Expect(controller.Cutoffs()).To(HaveLen(1))
		Expect(controller.Cutoffs()[0].Number).To(BeNumerically(">", 41))
		Expect(controller.Cutoffs()[0].Seed).To(BeEquivalentTo(9))
	})
})
