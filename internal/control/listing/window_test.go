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

var _ = Describe("the window of calls to the platform", func() {
	It("lets calls through at once until a second has seen enough, and those after it one by one", func() {
		window := &listing.Window{}
		for range 30 {
			Expect(window.Reserve(0, 30)).To(BeZero())
		}
		half := clock.Instant(500 * time.Millisecond)
		Expect(window.Reserve(half, 30)).To(Equal(500 * time.Millisecond))
		Expect(window.Reserve(2*half, 30)).To(BeZero())
		Expect(window.Reserve(half, 0)).To(BeZero(), "without a bound there is no wait")
	})

	It("never lets a second see more, whenever calls are asked for", func() {
		random := rand.New(rand.NewPCG(1, 2))
		window, now := &listing.Window{}, clock.Instant(0)
		var made []clock.Instant
		for range 3000 {
			now += clock.Instant(random.Int64N(int64(40 * time.Millisecond)))
			made = append(made, now+clock.Instant(window.Reserve(now, 20)))
		}
		slices.Sort(made)
		for i := 20; i < len(made); i++ {
			Expect(made[i] - made[i-20]).To(BeNumerically(">=", time.Second))
		}
	})
})
