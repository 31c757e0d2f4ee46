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

var _ = Describe("the judgement", func() {
	It("hardly ever condemns a side that is like the other, and soon one that is not", func() {
		random := rand.New(rand.NewPCG(1, 1))
		wrong := 0
		for range 3000 {
			usual := random.Float64() * 0.2
			draw := func(n int, chance float64) (tally outlier.Tally) {
				for range n {
					if random.Float64() < chance {
						tally[outlier.Failed]++
					} else {
						tally[outlier.Good]++
					}
				}
				return tally
			}
			if outlier.Judge(draw(10+random.IntN(300), usual), draw(2000, usual)) == outlier.Unfit {
				wrong++
			}
			Expect(outlier.Judge(draw(80, 0.45), draw(2000, 0.02))).To(Equal(outlier.Unfit))
		}
		Expect(wrong).To(BeZero())
	})

	It("says nothing on a handful, nor of a trouble that both sides have", func() {
		Expect(outlier.Judge(outlier.Tally{0, 5}, outlier.Tally{100})).To(Equal(outlier.Open))
		Expect(outlier.Judge(outlier.Tally{50, 50}, outlier.Tally{500, 500})).To(Equal(outlier.Fit))
	})
})

var _ = Describe("the court", func() {
	mark := outlier.Mark{Subject: "s", Number: 1, Lane: "l", IsTrial: true}

	It("counts each report once, over restarts, losses and repeats, as a plain sum does", func() {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 4))
			court := outlier.NewCourt(&clock.Manual{})
			boxes, lives := make([]*outlier.Box, 4), make([]int, 4)
			said := make([]uint32, 4)   // all lives' counts, as reported
			before := make([]uint32, 4) // of lives that are over
			var last []outlier.Report
			for i := range boxes {
				boxes[i] = outlier.NewBox()
			}
			for range 300 {
				i := random.IntN(4)
				switch random.IntN(8) {
				case 0:
					boxes[i], before[i] = outlier.NewBox(), said[i]
					lives[i]++
				case 1, 2:
					report := boxes[i].Report(fmt.Sprint(i), fmt.Sprint(lives[i]))
					if random.IntN(3) > 0 {
						court.Hear(report)
						last = append(last, report)
						said[i] = before[i]
						for _, row := range report.Rows {
							said[i] += row.Tally.Sum()
						}
					}
				case 3:
					if len(last) > 0 && last[len(last)-1].Life == fmt.Sprint(lives[i]) && last[len(last)-1].Node == fmt.Sprint(i) {
						court.Hear(last[len(last)-1])
					}
				default:
					boxes[i].Note(mark, outlier.Good)
				}
			}
			sum := uint32(0)
			for i := range said {
				sum += said[i]
			}
			got := uint32(0)
			for _, evidence := range court.Hearing("s", 1, 0).Evidence {
				got += evidence.OnTrial.Sum()
			}
			Expect(got).To(Equal(sum), "seed %d", seed)
		}
	})

	It("finds a lane that alone is bad, and waits for one that was hardly seen", func() {
		court := outlier.NewCourt(&clock.Manual{})
		box := outlier.NewBox()
		note := func(lane string, isTrial bool, good, failed int) {
			for range good {
				box.Note(outlier.Mark{Subject: "s", Number: 1, Lane: lane, IsTrial: isTrial}, outlier.Good)
			}
			for range failed {
				box.Note(outlier.Mark{Subject: "s", Number: 1, Lane: lane, IsTrial: isTrial}, outlier.Failed)
			}
		}
		note("a", false, 1000, 5)
		note("b", false, 100, 0)
		note("a", true, 100, 0)
		court.Hear(box.Report("n", "1"))
		Expect(court.Hearing("s", 1, 0).Verdict).To(Equal(outlier.Open))
		note("b", true, 10, 0)
		court.Hear(box.Report("n", "1"))
		Expect(court.Hearing("s", 1, 0).Verdict).To(Equal(outlier.Fit))
		note("b", true, 0, 9)
		court.Hear(box.Report("n", "1"))
		finding := court.Hearing("s", 1, 0)
		Expect(finding.Verdict).To(Equal(outlier.Unfit))
		Expect(finding.Reason).To(HavePrefix("lane b"))
	})

	It("sets a server aside that fails more than its like, never a whole service", func() {
		hand := &clock.Manual{}
		court := outlier.NewCourt(hand)
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		number := 0
		hear := func(isBad func(id string) bool) {
			box := outlier.NewBox()
			for _, id := range ids {
				for range 10 {
					outcome := outlier.Good
					if isBad(id) {
						outcome = outlier.Failed
					}
					box.NoteServer(id, outcome, 1)
				}
			}
			number++
			court.Hear(box.Report("n", fmt.Sprint(number)))
		}
		hear(func(id string) bool { return id == "c" })
		Expect(court.Aside(ids)).To(Equal(map[string]bool{"c": true}))
		// It is good again, and taken back after a while, not at once.
		for range 6 {
			hear(func(string) bool { return false })
		}
		Expect(court.Aside(ids)).To(HaveKey("c"))
		hand.Sleep(5 * time.Second)
		hear(func(string) bool { return false })
		Expect(court.Aside(ids)).To(BeEmpty())
		hand.Sleep(time.Hour)
		for range 5 {
			hear(func(string) bool { return true })
		}
		Expect(len(court.Aside(ids))).To(BeNumerically("<=", 2))
	})
})
