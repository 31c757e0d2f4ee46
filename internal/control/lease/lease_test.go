package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/membership"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

const leaseDuration = 900 * time.Millisecond

// atMillis returns a reading of a monotonic clock, given in milliseconds.
func atMillis(ms int) clock.Instant { return clock.Instant(time.Duration(ms) * time.Millisecond) }

var _ = Describe("a member's promises", func() {
	old, next := membership.Term{Number: 4, Holder: "a"}, membership.Term{Number: 5, Holder: "b"}

	It("deny claims of other nodes until they expire, but not claims of the same node", func() {
		grantor := lease.NewGrantor(leaseDuration)
		Expect(grantor.Claim(membership.Term{}, old, atMillis(1000))).To(BeTrue())
		Expect(grantor.Claim(old, next, atMillis(1899))).To(BeFalse())
		Expect(grantor.Claim(old, membership.Term{Number: 5, Holder: "a"}, atMillis(1100))).To(BeTrue())
		Expect(grantor.Claim(old, next, atMillis(1901))).To(BeFalse(), "the new claim extends the promise")
		Expect(grantor.Claim(old, next, atMillis(2000))).To(BeTrue())
	})

	It("are extended only by a renewal under the member's current term", func() {
		grantor := lease.NewGrantor(leaseDuration)
		Expect(grantor.Claim(membership.Term{}, old, atMillis(1000))).To(BeTrue())
		Expect(grantor.Renew(old, old, atMillis(1500))).To(BeTrue())
		Expect(grantor.Renew(old, membership.Term{Number: 3, Holder: "a"}, atMillis(1600))).To(BeFalse())
		Expect(grantor.Renew(old, membership.Term{Number: 4, Holder: "b"}, atMillis(1600))).To(BeFalse())
		Expect(grantor.Claim(old, next, atMillis(2399))).To(BeFalse())
		Expect(grantor.Claim(old, next, atMillis(2400))).To(BeTrue())
	})

	It("end at once when the holder releases the lease, but not by a release of another term", func() {
		grantor := lease.NewGrantor(leaseDuration)
		Expect(grantor.Claim(membership.Term{}, old, atMillis(1000))).To(BeTrue())
		grantor.Release(old, membership.Term{Number: 3, Holder: "a"})
		Expect(grantor.Claim(old, next, atMillis(1010))).To(BeFalse())
		grantor.Release(old, old)
		Expect(grantor.Claim(old, next, atMillis(1010))).To(BeTrue())
	})

	It("are covered after a start by denying all claims for one lease duration", func() {
		grantor := lease.NewGrantor(leaseDuration)
		grantor.DenyClaims(atMillis(1000))
		Expect(grantor.Claim(old, membership.Term{Number: 5, Holder: "a"}, atMillis(1899))).To(BeFalse())
		Expect(grantor.Claim(old, next, atMillis(1900))).To(BeTrue())
	})

	It("are not given to a claim whose term isn't higher than the current one", func() {
		grantor := lease.NewGrantor(leaseDuration)
		Expect(grantor.Claim(next, old, atMillis(1000))).To(BeFalse())
		Expect(grantor.Claim(next, next, atMillis(1000))).To(BeFalse())
	})
})

var _ = Describe("a holder's lease", func() {
	view := membership.View{Epoch: 2, Members: []string{"a", "b", "c"}}
	var holder *lease.Holder

	BeforeEach(func() { holder = lease.NewHolder(leaseDuration) })

	It("starts when the newest round that a majority acknowledged was sent, and ends before the promises", func() {
		first := holder.Start(7, view, atMillis(1000))
		Expect(holder.Acknowledge(first, "a")).To(BeFalse())
		Expect(holder.Acknowledge(first, "a")).To(BeFalse(), "one member counts once")
		Expect(holder.Acknowledge(first, "x")).To(BeFalse(), "x is not a member")
		Expect(holder.Remaining(7, atMillis(1001))).To(BeZero())
		Expect(holder.Acknowledge(first, "c")).To(BeTrue())
		Expect(holder.Remaining(7, atMillis(1000))).To(And(BeNumerically(">", leaseDuration/2), BeNumerically("<", leaseDuration)))
		second := holder.Start(7, view, atMillis(1300))
		Expect(holder.Acknowledge(second, "b")).To(BeFalse())
		Expect(holder.Remaining(7, atMillis(1899))).To(BeZero(), "the second round has no majority yet")
		Expect(holder.Acknowledge(second, "a")).To(BeTrue())
		Expect(holder.Remaining(7, atMillis(1899))).NotTo(BeZero())
		Expect(holder.Remaining(6, atMillis(1899))).To(BeZero())
	})

	It("isn't shortened by an older round that is acknowledged later", func() {
		older, newer := holder.Start(7, view, atMillis(1000)), holder.Start(7, view, atMillis(1300))
		holder.Acknowledge(newer, "a")
		holder.Acknowledge(newer, "b")
		remaining := holder.Remaining(7, atMillis(1400))
		holder.Acknowledge(older, "a")
		Expect(holder.Acknowledge(older, "b")).To(BeTrue())
		Expect(holder.Remaining(7, atMillis(1400))).To(Equal(remaining))
	})

	It("is not restored by late acknowledgements or renewals after it was given up", func() {
		round := holder.Start(7, view, atMillis(1000))
		holder.Acknowledge(round, "a")
		holder.Acknowledge(round, "b")
		holder.End()
		Expect(holder.Remaining(7, atMillis(1001))).To(BeZero())
		Expect(holder.Acknowledge(round, "c")).To(BeFalse())
		late := holder.Start(7, view, atMillis(1002))
		holder.Acknowledge(late, "a")
		Expect(holder.Acknowledge(late, "b")).To(BeFalse())
		Expect(holder.Remaining(7, atMillis(1003))).To(BeZero())
		Expect(holder.Remaining(0, atMillis(1003))).To(BeZero())
	})
})
