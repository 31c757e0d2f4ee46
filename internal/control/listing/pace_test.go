package listing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
)

var _ = Describe("the pace of the readings of the list", func() {
	const second = clock.Instant(time.Second)
	const period = 700 * time.Millisecond
	pace := listing.Pace{Period: period, Rate: listing.HolderShare * 50}

	It("is one reading a period, or as many as the rate allows, whichever is fewer, and waits for no more", func() {
		Expect(listing.Pace{Period: period}.Next(0, second/10, 1000)).To(Equal(7 * second / 10))
		// 15 pages at 30 calls a second are 0.5 s apart: the period decides.
		Expect(pace.Next(0, second/4, 15)).To(Equal(7 * second / 10))
		// 27 pages are 0.9 s apart, however long the reading itself took.
		Expect(pace.Next(0, second/4, 27)).To(BeNumerically("~", 9*second/10, second/1000))
	})

	It("keeps the rate from one beginning to the next", func() {
		for _, calls := range []int{1, 8, 15, 22, 200} {
			apart := time.Duration(pace.Next(0, second/4, calls)).Seconds()
			Expect(float64(calls)/apart).To(BeNumerically("<=", 30.001), "%d calls", calls)
		}
	})

	It("rests a little after a reading that took longer than that", func() {
		Expect(pace.Next(0, 3*second, 15)).To(BeNumerically(">", 3*second))
	})
})
