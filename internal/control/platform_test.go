package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/timetable"
)

var _ = Describe("the reading of the platform's list", func() {
	It("comes again after its period, or after its rest, whichever is later, and waits for no more", func() {
		const second = timetable.Steady(time.Second)
		Expect(nextReading(0, second/10, 700*time.Millisecond, 0)).To(Equal(7 * second / 10))
		// 15 pages at 50 calls a second rest for 0.6 s: 0.85 s, not two periods.
		Expect(nextReading(0, second/4, 700*time.Millisecond, pacing(15, holderShare*50))).To(BeNumerically("~", 85*second/100, second/1000))
	})
})
