package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/outlier"
	"ploverhitch/internal/timetable"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

var _ = Describe("the judgement", func() {
	It("hardly ever condemns a side that is like the other, and soon one that is not", func() {
		random := rand.New(rand.NewPCG(1, 1))
		wrong := 0
		for range 3000 {
			usual := random.Float64() * 0.2
			draw := func(n int, chance float64) (tally outlier.Counts) {
				for range n {
					if random.Float64() < chance {
						tally[outlier.Failed]++
					} else {
						tally[outlier.Success]++
					}
				}
				return tally
			}
			if outlier.Compare(draw(10+random.IntN(300), usual), draw(2000, usual)) == outlier.Fail {
				wrong++
			}
			Expect(outlier.Compare(draw(80, 0.45), draw(2000, 0.02))).To(Equal(outlier.Fail))
		}
		Expect(wrong).To(BeZero())
	})

	It("says nothing on a handful, nor of a trouble that both sides have", func() {
		Expect(outlier.Compare(outlier.Counts{0, 5}, outlier.Counts{100})).To(Equal(outlier.Inconclusive))
		Expect(outlier.Compare(outlier.Counts{50, 50}, outlier.Counts{500, 500})).To(Equal(outlier.Pass))
	})
})

var _ = Describe("the court", func() {
	mark := outlier.Label{Subject: "s", Number: 1, Route: "l", OnTrial: true}

	It("counts each report once, over restarts, losses and repeats, as a plain sum does", func() {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 4))
			court := outlier.NewAggregator(&timetable.Hand{})
			boxes, lives := make([]*outlier.Recorder, 4), make([]int, 4)
			said := make([]uint32, 4)   // all lives' counts, as reported
			before := make([]uint32, 4) // of lives that are over
			var last []outlier.Report
			for i := range boxes {
				boxes[i] = outlier.NewRecorder()
			}
			for range 300 {
				i := random.IntN(4)
				switch random.IntN(8) {
				case 0:
					boxes[i], before[i] = outlier.NewRecorder(), said[i]
					lives[i]++
				case 1, 2:
					report := boxes[i].Report(fmt.Sprint(i), fmt.Sprint(lives[i]))
					if random.IntN(3) > 0 {
						court.AddReport(report)
						last = append(last, report)
						said[i] = before[i]
						for _, row := range report.Rows {
							said[i] += row.Counts.Total()
						}
					}
				case 3:
					if len(last) > 0 && last[len(last)-1].Incarnation == fmt.Sprint(lives[i]) && last[len(last)-1].Node == fmt.Sprint(i) {
						court.AddReport(last[len(last)-1])
					}
				default:
					boxes[i].Record(mark, outlier.Success)
				}
			}
			sum := uint32(0)
			for i := range said {
				sum += said[i]
			}
			got := uint32(0)
			for _, evidence := range court.Evaluate("s", 1, 0).Evidence {
				got += evidence.OnTrial.Total()
			}
			Expect(got).To(Equal(sum), "seed %d", seed)
		}
	})

	It("finds a lane that alone is bad, and waits for one that was hardly seen", func() {
		court := outlier.NewAggregator(&timetable.Hand{})
		box := outlier.NewRecorder()
		note := func(lane string, isTrial bool, good, failed int) {
			for range good {
				box.Record(outlier.Label{Subject: "s", Number: 1, Route: lane, OnTrial: isTrial}, outlier.Success)
			}
			for range failed {
				box.Record(outlier.Label{Subject: "s", Number: 1, Route: lane, OnTrial: isTrial}, outlier.Failed)
			}
		}
		note("a", false, 1000, 5)
		note("b", false, 100, 0)
		note("a", true, 100, 0)
		court.AddReport(box.Report("n", "1"))
		Expect(court.Evaluate("s", 1, 0).Verdict).To(Equal(outlier.Inconclusive))
		note("b", true, 10, 0)
		court.AddReport(box.Report("n", "1"))
		Expect(court.Evaluate("s", 1, 0).Verdict).To(Equal(outlier.Pass))
		note("b", true, 0, 9)
		court.AddReport(box.Report("n", "1"))
		finding := court.Evaluate("s", 1, 0)
		Expect(finding.Verdict).To(Equal(outlier.Fail))
		Expect(finding.Reason).To(HavePrefix("lane b"))
	})

	It("sets a server aside that fails more than its like, never a whole service", func() {
		hand := &timetable.Hand{}
		court := outlier.NewAggregator(hand)
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		number := 0
		hear := func(isBad func(id string) bool) {
			box := outlier.NewRecorder()
			for _, id := range ids {
				for range 10 {
					outcome := outlier.Success
					if isBad(id) {
						outcome = outlier.Failed
					}
					box.RecordServer(id, outcome, 1)
				}
			}
			number++
			court.AddReport(box.Report("n", fmt.Sprint(number)))
		}
		hear(func(id string) bool { return id == "c" })
		Expect(court.Ejected(ids)).To(Equal(map[string]bool{"c": true}))
		// It is good again, and taken back after a while, not at once.
		for range 6 {
			hear(func(string) bool { return false })
		}
		Expect(court.Ejected(ids)).To(HaveKey("c"))
		hand.Sleep(5 * time.Second)
		hear(func(string) bool { return false })
		Expect(court.Ejected(ids)).To(BeEmpty())
		hand.Sleep(time.Hour)
		for range 5 {
			hear(func(string) bool { return true })
		}
		Expect(len(court.Ejected(ids))).To(BeNumerically("<=", 2))
	})
})
