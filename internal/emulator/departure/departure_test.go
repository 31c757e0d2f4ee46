package departure_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/emulator/departure"
)

func TestDeparture(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "departure")
}

// play is what the runs of many seeds came to together.
func play(guards departure.Guards, scenario departure.Scenario, seeds uint64) departure.Result {
	all := departure.NewResult()
	for seed := range seeds {
		all.Merge(departure.Run(departure.Options{
			Seed: seed, Scenario: scenario, Guards: guards,
			Size: departure.Size{Pages: 15, Zones: 6, Rate: 50, Members: 5, Proxies: 12},
		}))
	}
	return all
}

var _ = Describe("the way from the list to the last request", func() {
	const drain, seeds = 2500 * time.Millisecond, 25
	without := func(take func(*departure.Guards)) departure.Guards {
		guards := departure.Present()
		take(&guards)
		return guards
	}

	for _, scenario := range departure.Scenarios() {
		It("ends in time while the core is settled, and nobody goes back: "+string(scenario), func() {
			out := play(departure.Present(), scenario, seeds)
			Expect(out.SettledLastByte.Count()).To(BeNumerically(">", 1000))
			Expect(out.SettledLastByte.Most()).To(BeNumerically("<", drain))
			Expect(out.Regressions).To(BeZero())
		})
	}

	It("is the same for every run of a seed", func() {
		options := departure.Options{Seed: 3, Scenario: departure.Mixed, Guards: departure.Present(), Size: departure.Size{Pages: 8, Zones: 4, Rate: 50, Members: 3, Proxies: 6}}
		first, second := departure.Run(options), departure.Run(options)
		Expect(second.Calls).To(Equal(first.Calls))
		Expect(second.Known.Most()).To(Equal(first.Known.Most()))
	})

	It("goes back where hops forget and a holder takes up its own old list", func() {
		guards := without(func(g *departure.Guards) { g.IsFinal, g.IsFreshList = false, false })
		Expect(play(guards, departure.DutyMoves, seeds).Regressions).To(BeNumerically(">", 0))
	})

	It("takes too long where members stand by on silent heartbeats, as a holder may be alive and not read", func() {
		guards := without(func(g *departure.Guards) { g.IsByReadings = false })
		Expect(play(guards, departure.ReaderStuck, seeds).SettledLastByte.Most()).To(BeNumerically(">", drain))
	})

	It("takes too long where a holder whose processor is short reads the pages one after the other", func() {
		guards := without(func(g *departure.Guards) { g.IsByReadings, g.IsByZone = false, false })
		Expect(play(guards, departure.HolderBusy, seeds).SettledLastByte.Most()).To(BeNumerically(">", drain))
	})

	It("takes too long where who leaves waits for the coordinator", func() {
		guards := without(func(g *departure.Guards) { g.IsByPage, g.IsByReadings = false, false })
		Expect(play(guards, departure.CoordinatorHeld, seeds).Known.Quantile(99)).
			To(BeNumerically(">", play(departure.Present(), departure.CoordinatorHeld, seeds).Known.Quantile(99)))
	})
})
