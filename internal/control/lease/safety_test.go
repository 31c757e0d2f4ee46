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
	simulatedTime = 60 * time.Second
	seedCount     = 300
)

// grantorWithoutPromises grants every claim with a higher term.
type grantorWithoutPromises struct{ *lease.Grantor }

func (g grantorWithoutPromises) Claim(current, claimed membership.Term, _ clock.Instant) bool {
	return claimed.Number > current.Number
}

// grantorWithoutWait doesn't wait until promises from before a restart have expired.
type grantorWithoutWait struct{ *lease.Grantor }

func (g grantorWithoutWait) DenyClaims(clock.Instant) {}

func correctOptions() options {
	return options{
		grantor:  func() leaseGrantor { return lease.NewGrantor(leaseDuration) },
		holder:   func() *lease.Holder { return lease.NewHolder(leaseDuration) },
		maxDrift: toleratedDrift,
	}
}

// firstViolation runs simulations with consecutive seeds until one has two holders.
func firstViolation(from uint64, o options) string {
	for seed := from; seed < from+seedCount; seed++ {
		if violation := newSimulation(seed, o).run(simulatedTime); violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, violation)
		}
	}
	return ""
}

var _ = Describe("the lease under message delay and loss, link failures, pauses, restarts, disk losses and view changes", func() {
	It("never has two holders at the same time", func() {
		Expect(firstViolation(1, correctOptions())).To(BeEmpty())
		Expect(firstViolation(uint64(GinkgoRandomSeed())<<16, correctOptions())).To(BeEmpty())
	})

	It("is won often and by several nodes, so that the safety check covers changes of holder", func() {
		wonClaims, holders, epochs := 0, 0, membership.Epoch(0)
		for seed := uint64(1); seed <= 50; seed++ {
			s := newSimulation(seed, correctOptions())
			s.run(simulatedTime)
			wonClaims, holders, epochs = wonClaims+s.wonClaims, holders+len(s.holders), epochs+s.newestView.Epoch-1
		}
		Expect(wonClaims).To(BeNumerically(">", 50*10))
		Expect(holders).To(BeNumerically(">", 50*3))
		Expect(epochs).To(BeNumerically(">", 50*2))
	})

	It("has two holders at once if members make no promises", func() {
		o := correctOptions()
		o.grantor = func() leaseGrantor { return grantorWithoutPromises{lease.NewGrantor(leaseDuration)} }
		Expect(firstViolation(1, o)).NotTo(BeEmpty())
	})

	It("has two holders at once if members don't wait after a start", func() {
		o := correctOptions()
		o.grantor = func() leaseGrantor { return grantorWithoutWait{lease.NewGrantor(leaseDuration)} }
		Expect(firstViolation(1, o)).NotTo(BeEmpty())
	})

	It("has two holders at once if a member that is new in the view doesn't wait", func() {
		o := correctOptions()
		o.skipViewWait = true
		Expect(firstViolation(1, o)).NotTo(BeEmpty())
	})

	It("has two holders at once if the clock rates differ by more than the margin", func() {
		o := correctOptions()
		o.maxDrift = 0.25
		Expect(firstViolation(1, o)).NotTo(BeEmpty())
	})

	It("has two holders at once if the holder's lease lasts longer than the members' promises", func() {
		o := correctOptions()
		o.holder = func() *lease.Holder { return lease.NewHolder(leaseDuration * 5 / 4) }
		Expect(firstViolation(1, o)).NotTo(BeEmpty())
	})
})
