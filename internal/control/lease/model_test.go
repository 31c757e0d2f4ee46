package lease_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/membership"
)

const (
	worldLength = 60 * time.Second
	worldCount  = 300
)

// forgetful grants whatever has a higher term, as a member without promises.
type forgetful struct{ *lease.Grantor }

func (f forgetful) Claim(held, wanted membership.Term, _ clock.Instant) bool {
	return wanted.Number > held.Number
}

// hasty doesn't wait for what it may have promised in an earlier life.
type hasty struct{ *lease.Grantor }

func (h hasty) Wait(clock.Instant) {}

func sound() build {
	return build{
		grantor: func() promiser { return lease.NewGrantor(span) },
		holder:  func() *lease.Holder { return lease.NewHolder(span) },
		drift:   driftMost,
	}
}

// firstViolation plays worlds of a row of seeds until one breaks the rule.
func firstViolation(from uint64, b build) string {
	for seed := from; seed < from+worldCount; seed++ {
		if violation := newWorld(seed, b).play(worldLength); violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, violation)
		}
	}
	return ""
}

var _ = Describe("the lease under delay, loss, cuts, freezes, restarts, lost disks and new views", func() {
	It("never has two holders at one moment", func() {
		Expect(firstViolation(1, sound())).To(BeEmpty())
		Expect(firstViolation(uint64(GinkgoRandomSeed())<<16, sound())).To(BeEmpty())
	})

	It("is won often, by several nodes, so that the check means something", func() {
		wins, holders, epochs := 0, 0, membership.Epoch(0)
		for seed := uint64(1); seed <= 50; seed++ {
			w := newWorld(seed, sound())
			w.play(worldLength)
			wins, holders, epochs = wins+w.wins, holders+len(w.holders), epochs+w.newest.Epoch-1
		}
		Expect(wins).To(BeNumerically(">", 50*10))
		Expect(holders).To(BeNumerically(">", 50*3))
		Expect(epochs).To(BeNumerically(">", 50*2))
	})

	It("has two holders at once if members promise nothing", func() {
		b := sound()
		b.grantor = func() promiser { return forgetful{lease.NewGrantor(span)} }
		Expect(firstViolation(1, b)).NotTo(BeEmpty())
	})

	It("has two holders at once if members don't wait after a start", func() {
		b := sound()
		b.grantor = func() promiser { return hasty{lease.NewGrantor(span)} }
		Expect(firstViolation(1, b)).NotTo(BeEmpty())
	})

	It("has two holders at once if a member that is new in the view doesn't wait", func() {
		b := sound()
		b.isTrustedAtOnce = true
		Expect(firstViolation(1, b)).NotTo(BeEmpty())
	})

	It("has two holders at once if clocks' rates differ by more than the margin", func() {
		b := sound()
		b.drift = 0.25
		Expect(firstViolation(1, b)).NotTo(BeEmpty())
	})

	It("has two holders at once if the holder counts a longer span than members promise", func() {
		b := sound()
		b.holder = func() *lease.Holder { return lease.NewHolder(span * 5 / 4) }
		Expect(firstViolation(1, b)).NotTo(BeEmpty())
	})
})
