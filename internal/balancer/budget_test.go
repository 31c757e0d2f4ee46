package balancer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
)

// arrivals counts events by the millisecond.
type arrivals []int

// between is how many there were in a span of time.
func (a arrivals) between(from, to time.Duration) (count int) {
	for at := max(0, from.Milliseconds()); at < min(int64(len(a)), to.Milliseconds()); at++ {
		count += a[at]
	}
	return count
}

var _ = Describe("a retry budget under an overload that comes and goes", func() {
	It("keeps to its share in every window, counted where the further tries arrive", func() {
		const (
			ratio    = 0.2
			window   = 10 * time.Second
			length   = 60 * time.Second
			longest  = 800 * time.Millisecond
			perBurst = 8
		)
		for seed := uint64(1); seed <= 20; seed++ {
			random := rand.New(rand.NewPCG(seed, 5))
			hand := &clock.Manual{}
			budget := balancer.NewBudget(ratio, window, func() float64 { return 0 }, hand)
			requests, tries := make(arrivals, (length+longest).Milliseconds()+1), make(arrivals, (length+longest).Milliseconds()+1)
			bursts := [][2]time.Duration{}
			for at := time.Duration(0); at < length; at += time.Duration(2+random.IntN(9)) * time.Second {
				bursts = append(bursts, [2]time.Duration{at, at + time.Duration(1+random.IntN(9))*time.Second})
			}
			for ; hand.Now < length; hand.Now += time.Millisecond {
				load := 1
				for _, burst := range bursts {
					if hand.Now >= burst[0] && hand.Now < burst[1] {
						load = perBurst
					}
				}
				for range random.IntN(load + 1) {
					budget.Ask()
					requests[hand.Now.Milliseconds()]++
					if random.IntN(3) == 0 && budget.Spend() {
						tries[(hand.Now+time.Duration(random.Int64N(int64(longest)))).Milliseconds()]++
					}
				}
			}
			for from := time.Duration(0); from < length-window; from += 250 * time.Millisecond {
				asked := max(requests.between(from, from+window), requests.between(from-window, from), requests.between(from-window/2, from+window/2))
				Expect(tries.between(from, from+window)).To(BeNumerically("<=", ratio*float64(asked)), "seed %d, window from %v", seed, from)
			}
		}
	})
})
