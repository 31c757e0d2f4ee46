package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/outlier"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

var _ = Describe("Compare", func() {
	It("does not fail a side that equals the other, and fails one with a much higher rate", func() {
		random := rand.New(rand.NewPCG(1, 1))
		falseFailures := 0
		for range 3000 {
			usualRate := random.Float64() * 0.2
			sample := func(n int, failureRate float64) (counts outlier.Counts) {
				for range n {
					if random.Float64() < failureRate {
						counts[outlier.Failed]++
					} else {
						counts[outlier.Success]++
					}
				}
				return counts
			}
			if outlier.Compare(sample(10+random.IntN(300), usualRate), sample(2000, usualRate)) == outlier.Fail {
				falseFailures++
			}
			Expect(outlier.Compare(sample(80, 0.45), sample(2000, 0.02))).To(Equal(outlier.Fail))
		}
		Expect(falseFailures).To(BeZero())
	})

	It("is inconclusive on few counts, and passes a side whose failures occur on both sides", func() {
		Expect(outlier.Compare(outlier.Counts{0, 5}, outlier.Counts{100})).To(Equal(outlier.Inconclusive))
		Expect(outlier.Compare(outlier.Counts{50, 50}, outlier.Counts{500, 500})).To(Equal(outlier.Pass))
	})
})

var _ = Describe("Aggregator", func() {
	label := outlier.Label{Subject: "s", Number: 1, Route: "l", OnTrial: true}

	It("counts each outcome once despite restarted proxies and lost or repeated reports", func() {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 4))
			aggregator := outlier.NewAggregator(&clock.Manual{})
			recorders, incarnations := make([]*outlier.Recorder, 4), make([]int, 4)
			reported := make([]uint32, 4) // counts of all incarnations, as reported
			ended := make([]uint32, 4)    // counts of previous incarnations
			var sent []outlier.Report
			for i := range recorders {
				recorders[i] = outlier.NewRecorder()
			}
			for range 300 {
				i := random.IntN(4)
				switch random.IntN(8) {
				case 0:
					recorders[i], ended[i] = outlier.NewRecorder(), reported[i]
					incarnations[i]++
				case 1, 2:
					report := recorders[i].Report(fmt.Sprint(i), fmt.Sprint(incarnations[i]))
					if random.IntN(3) > 0 {
						aggregator.AddReport(report)
						sent = append(sent, report)
						reported[i] = ended[i]
						for _, row := range report.Rows {
							reported[i] += row.Counts.Total()
						}
					}
				case 3:
					if len(sent) > 0 && sent[len(sent)-1].Incarnation == fmt.Sprint(incarnations[i]) && sent[len(sent)-1].Node == fmt.Sprint(i) {
						aggregator.AddReport(sent[len(sent)-1])
					}
				default:
					recorders[i].Record(label, outlier.Success)
				}
			}
			sum := uint32(0)
			for i := range reported {
				sum += reported[i]
			}
			got := uint32(0)
			for _, evidence := range aggregator.Evaluate("s", 1, 0).Evidence {
				got += evidence.OnTrial.Total()
			}
			Expect(got).To(Equal(sum), "seed %d", seed)
		}
	})

	It("fails a single bad route and waits for a route with few requests", func() {
		aggregator := outlier.NewAggregator(&clock.Manual{})
		recorder := outlier.NewRecorder()
		record := func(route string, onTrial bool, successes, failures int) {
			for range successes {
				recorder.Record(outlier.Label{Subject: "s", Number: 1, Route: route, OnTrial: onTrial}, outlier.Success)
			}
			for range failures {
				recorder.Record(outlier.Label{Subject: "s", Number: 1, Route: route, OnTrial: onTrial}, outlier.Failed)
			}
		}
		record("a", false, 1000, 5)
		record("b", false, 100, 0)
		record("a", true, 100, 0)
		aggregator.AddReport(recorder.Report("n", "1"))
		Expect(aggregator.Evaluate("s", 1, 0).Verdict).To(Equal(outlier.Inconclusive))
		record("b", true, 10, 0)
		aggregator.AddReport(recorder.Report("n", "1"))
		Expect(aggregator.Evaluate("s", 1, 0).Verdict).To(Equal(outlier.Pass))
		record("b", true, 0, 9)
		aggregator.AddReport(recorder.Report("n", "1"))
		evaluation := aggregator.Evaluate("s", 1, 0)
		Expect(evaluation.Verdict).To(Equal(outlier.Fail))
		Expect(evaluation.Reason).To(HavePrefix("route b"))
	})

	It("ejects a server that fails more than its group, but never a whole group", func() {
		clock := &clock.Manual{}
		aggregator := outlier.NewAggregator(clock)
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		incarnation := 0
		report := func(failing func(id string) bool) {
			recorder := outlier.NewRecorder()
			for _, id := range ids {
				for range 10 {
					outcome := outlier.Success
					if failing(id) {
						outcome = outlier.Failed
					}
					recorder.RecordServer(id, outcome, 1)
				}
			}
			incarnation++
			aggregator.AddReport(recorder.Report("n", fmt.Sprint(incarnation)))
		}
		report(func(id string) bool { return id == "c" })
		Expect(aggregator.Ejected(ids)).To(Equal(map[string]bool{"c": true}))
		// A recovered server is taken back after the ejection time, not at once.
		for range 6 {
			report(func(string) bool { return false })
		}
		Expect(aggregator.Ejected(ids)).To(HaveKey("c"))
		clock.Sleep(5 * time.Second)
		report(func(string) bool { return false })
		Expect(aggregator.Ejected(ids)).To(BeEmpty())
		clock.Sleep(time.Hour)
		for range 5 {
			report(func(string) bool { return true })
		}
		Expect(len(aggregator.Ejected(ids))).To(BeNumerically("<=", 2))
	})
})
