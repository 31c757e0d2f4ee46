package proxy

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bandwidth"
	"ploverhitch/internal/clock"
)

var _ = Describe("the averages over a route's responses", func() {
	// Guards against one server's announced length that turns the cost of another zone negative and has the route's
	// downloads refused for hundreds of responses.
	It("recover from a response that announces the largest length", func() {
		stats := &responseStats{}
		for range 20 {
			stats.record(20*time.Millisecond, 40<<10)
		}
		usualCost := stats.zoneCost(10 * time.Millisecond)
		stats.record(20*time.Millisecond, math.MaxInt64)
		Expect(stats.zoneCost(10 * time.Millisecond)).To(BeNumerically(">", usualCost))
		for range 100 {
			stats.record(20*time.Millisecond, 40<<10)
		}
		Expect(stats.zoneCost(10 * time.Millisecond)).To(BeNumerically("<", 2*usualCost))
		Expect(stats.expectedBytes()).To(BeNumerically("<", 80<<10))
	})

	// Guards against a cost that overflows because of the operator's crossing_per_kb.
	It("give a positive cost of another zone whatever a kilobyte may cost", func() {
		stats := &responseStats{}
		stats.record(20*time.Millisecond, math.MaxInt64)
		Expect(stats.zoneCost(clock.MaxDuration.Std())).To(BeNumerically(">=", zoneCostMin))
	})
})

// Guards against a link that is not paced at all because the time of a byte overflows.
var _ = DescribeTable("a link of any rate carries bulk traffic at a pace", func(mbps float64, longest time.Duration) {
	manual := &clock.Manual{}
	pacer := bandwidth.NewPacer(mbps, manual)
	limiter := bandwidth.NewBulkLimiter(pacer)
	_, admitted := limiter.Admit(maxExpectedBytes, time.Second)
	Expect(admitted).To(BeTrue(), "the first is admitted whatever its length")
	_, admitted = limiter.Admit(maxExpectedBytes, time.Second)
	Expect(admitted).To(BeFalse())
	for range 100 {
		pacer.WaitBulk(bandwidth.ChunkBytes)
	}
	Expect(manual.Now).To(And(BeNumerically(">", 0), BeNumerically("<", longest)))
},
	Entry("4 Mbit/s", 4.0, time.Minute),
	Entry("next to nothing", 1e-300, time.Hour),
)
