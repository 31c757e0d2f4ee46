package simulation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/emulator/simulation"
)

// search is where the lack of a guard is looked for: in so many seeds of a
// scenario at most.
type search struct {
	guard    simulation.Guard
	scenario simulation.Scenario
	isDense  bool
	seeds    uint64
}

var searches = []search{
	{simulation.SyncBeforePromise, simulation.PowerCuts, true, 400},
	{simulation.ContentCheck, simulation.Storm, false, 20},
	{simulation.AdoptAccepted, simulation.PowerCuts, false, 300},
}

// isFound tells whether a safety violation is found; liveness proves nothing.
func (s search) isFound() bool {
	for _, options := range optionsOf(s.scenario, s.isDense, s.seeds) {
		options.Without = s.guard
		result := simulation.Run(options)
		if result.Violation != nil && result.Violation.Kind != simulation.Liveness {
			AddReportEntry("found", result.Violation.Error())
			return true
		}
	}
	return false
}

var _ = Describe("a run without a guard", func() {
	for _, search := range searches {
		It("breaks an invariant without "+string(search.guard), func() {
			Expect(search.isFound()).To(BeTrue(), "no violation in %d seeds of %s", search.seeds, search.scenario)
		})
	}
})
