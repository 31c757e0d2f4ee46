package listing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
)

var _ = Describe("the pace of list reads", func() {
	const second = clock.Instant(time.Second)
	const period = 700 * time.Millisecond
	pace := listing.Pace{MinInterval: period, Rate: listing.LeaderShare * 50}

	It("is one read per interval, or as many as the rate allows, whichever is fewer", func() {
		Expect(listing.Pace{MinInterval: period}.Next(0, second/10, 1000)).To(Equal(7 * second / 10))
		// 15 pages at 30 calls per second take 0.5 s: the minimum interval applies.
		Expect(pace.Next(0, second/4, 15)).To(Equal(7 * second / 10))
		// 27 pages take 0.9 s, however long the read itself took.
		Expect(pace.Next(0, second/4, 27)).To(BeNumerically("~", 9*second/10, second/1000))
	})

	It("keeps to the rate from the start of one read to the next", func() {
		for _, calls := range []int{1, 8, 15, 22, 200} {
			interval := time.Duration(pace.Next(0, second/4, calls)).Seconds()
			Expect(float64(calls)/interval).To(BeNumerically("<=", 30.001), "%d calls", calls)
		}
	})

	// Guards against a member that reads without a pause because the interval overflows.
	It("waits for as long as a very low rate asks", func() {
		slow := listing.Pace{MinInterval: period, Rate: 1e-300}
		Expect(slow.Next(second, 2*second, 15)).To(BeNumerically(">", clock.Instant(50*365*24*time.Hour)))
	})

	It("pauses after a read that took longer than the interval", func() {
		Expect(pace.Next(0, 3*second, 15)).To(BeNumerically(">", 3*second))
	})
})
