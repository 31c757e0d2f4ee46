package balancer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
)

// arrivals counts events per millisecond.
type arrivals []int

// between returns the number of events in a time span.
func (a arrivals) between(from, to time.Duration) (count int) {
	for at := max(0, from.Milliseconds()); at < min(int64(len(a)), to.Milliseconds()); at++ {
		count += a[at]
	}
	return count
}

var _ = Describe("a retry budget under intermittent overload", func() {
	It("keeps to its ratio in every window, counted when the retries arrive", func() {
		const (
			ratio     = 0.2
			window    = 10 * time.Second
			length    = 60 * time.Second
			maxDelay  = 800 * time.Millisecond
			burstLoad = 8
		)
		for seed := uint64(1); seed <= 20; seed++ {
			random := rand.New(rand.NewPCG(seed, 5))
			clock := &clock.Manual{}
			budget := balancer.NewRetryBudget(ratio, window, func() float64 { return 0 }, clock)
			requests, retries := make(arrivals, (length+maxDelay).Milliseconds()+1), make(arrivals, (length+maxDelay).Milliseconds()+1)
			bursts := [][2]time.Duration{}
			for at := time.Duration(0); at < length; at += time.Duration(2+random.IntN(9)) * time.Second {
				bursts = append(bursts, [2]time.Duration{at, at + time.Duration(1+random.IntN(9))*time.Second})
			}
			for ; clock.Now < length; clock.Now += time.Millisecond {
				load := 1
				for _, burst := range bursts {
					if clock.Now >= burst[0] && clock.Now < burst[1] {
						load = burstLoad
					}
				}
				for range random.IntN(load + 1) {
					budget.RecordRequest()
					requests[clock.Now.Milliseconds()]++
					if random.IntN(3) == 0 && budget.TakeRetry() {
						retries[(clock.Now+time.Duration(random.Int64N(int64(maxDelay)))).Milliseconds()]++
					}
				}
			}
			for from := time.Duration(0); from < length-window; from += 250 * time.Millisecond {
				allowed := max(requests.between(from, from+window), requests.between(from-window, from), requests.between(from-window/2, from+window/2))
				Expect(retries.between(from, from+window)).To(BeNumerically("<=", ratio*float64(allowed)), "seed %d, window from %v", seed, from)
			}
		}
	})
})
