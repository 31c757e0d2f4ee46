package exploration_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/emulator/exploration"
)

func TestExploration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exploration")
}

const (
	// mostStates bounds what one spec visits; the smaller models are visited whole.
	mostStates = 1_000_000
	// mostOfBoth bounds the model with both faults, which is too large for here.
	mostOfBoth = 150_000
)

var protocols = map[string]exploration.Protocol{"registry": exploration.Registry, "view change": exploration.ViewChange}

func explore(name string, model exploration.Model, most int) exploration.Report {
	report := exploration.Explore(model, most)
	fmt.Fprintf(GinkgoWriter, "%s: %+v\n", name, report)
	AddReportEntry(name, fmt.Sprintf("%d states, %d steps, depth %d, %d with a decision, whole: %v",
		report.States, report.Steps, report.Depth, report.Decided, report.IsComplete), ReportEntryVisibilityAlways)
	return report
}

var _ = Describe("every reachable state", func() {
	for name, protocol := range protocols {
		It("agrees with a crash of a proposer: "+name, func() {
			report := explore("crash", exploration.Model{Protocol: protocol, HasCrash: true}, mostStates)
			Expect(report.Err).NotTo(HaveOccurred())
			Expect(report.IsComplete).To(BeTrue())
			Expect(report.Decided).To(BeNumerically(">", 0))
		})

		It("agrees with a lost disk: "+name, func() {
			report := explore("lost disk", exploration.Model{Protocol: protocol, HasLoss: true}, mostStates)
			Expect(report.Err).NotTo(HaveOccurred())
			Expect(report.IsComplete).To(BeTrue())
			Expect(report.Decided).To(BeNumerically(">", 0))
		})

		It("agrees with a crash and a lost disk, as far as it is visited: "+name, func() {
			report := explore("both", exploration.Model{Protocol: protocol, HasCrash: true, HasLoss: true}, mostOfBoth)
			Expect(report.Err).To(SatisfyAny(BeNil(), MatchError(exploration.ErrTooMany)))
			Expect(report.Decided).To(BeNumerically(">", 0))
		})

		DescribeTable("disagrees without a guard: "+name,
			func(model exploration.Model) {
				model.Protocol = protocol
				Expect(explore("guard out", model, mostStates).Err).To(MatchError(exploration.ErrDisagreement))
			},
			Entry("no wait of two spans after a wipe", exploration.Model{HasLoss: true, IsWaitless: true}),
			Entry("a read set that is one member short", exploration.Model{HasLoss: true, IsReadShort: true}),
			Entry("an accepted value not adopted", exploration.Model{HasLoss: true, IsUnadopted: true}),
			Entry("a ballot reused after a restart", exploration.Model{HasCrash: true, IsBallotReused: true}),
		)
	}

	It("agrees also where a rebuilt member acts on promises of its earlier life", func() {
		// The incarnation is a second line: within this model the wait alone holds.
		report := explore("life ignored", exploration.Model{Protocol: exploration.Registry, HasLoss: true, IsLifeIgnored: true}, mostStates)
		Expect(report.Err).NotTo(HaveOccurred())
		Expect(report.IsComplete).To(BeTrue())
	})
})
