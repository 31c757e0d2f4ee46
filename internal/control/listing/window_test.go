package listing_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
)

var _ = Describe("the rate limiter of calls to the platform", func() {
	It("allows calls at once up to the limit per second, and delays the others", func() {
		window := &listing.Window{}
		for range 30 {
			Expect(window.Reserve(0, 30)).To(BeZero())
		}
		half := clock.Instant(500 * time.Millisecond)
		Expect(window.Reserve(half, 30)).To(Equal(500 * time.Millisecond))
		Expect(window.Reserve(2*half, 30)).To(BeZero())
		Expect(window.Reserve(half, 0)).To(BeZero(), "without a bound there is no wait")
	})

	// Guards against one call per second because the limit overflows (on x86-64).
	It("allows calls at once under a very high limit", func() {
		window := &listing.Window{}
		for range 100 {
			Expect(window.Reserve(0, 1e300)).To(BeZero())
		}
	})

	It("never allows more calls in a second than the limit, whenever they are requested", func() {
		random := rand.New(rand.NewPCG(1, 2))
		window, now := &listing.Window{}, clock.Instant(0)
		var callTimes []clock.Instant
		for range 3000 {
			now += clock.Instant(random.Int64N(int64(40 * time.Millisecond)))
			callTimes = append(callTimes, now+clock.Instant(window.Reserve(now, 20)))
		}
		slices.Sort(callTimes)
		for i := 20; i < len(callTimes); i++ {
			Expect(callTimes[i] - callTimes[i-20]).To(BeNumerically(">=", time.Second))
		}
	})
})
