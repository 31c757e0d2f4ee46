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

const span = 900 * time.Millisecond

// at is a reading of a steady clock, in milliseconds.
func at(ms int) clock.Instant { return clock.Instant(time.Duration(ms) * time.Millisecond) }

var _ = Describe("a member's promises", func() {
	old, next := membership.Term{Number: 4, Holder: "a"}, membership.Term{Number: 5, Holder: "b"}

	It("keep the duty from another claimant until their span ends, and not from the same one", func() {
		grantor := lease.NewGrantor(span)
		Expect(grantor.Claim(membership.Term{}, old, at(1000))).To(BeTrue())
		Expect(grantor.Claim(old, next, at(1899))).To(BeFalse())
		Expect(grantor.Claim(old, membership.Term{Number: 5, Holder: "a"}, at(1100))).To(BeTrue())
		Expect(grantor.Claim(old, next, at(1901))).To(BeFalse(), "the new claim extends the promise")
		Expect(grantor.Claim(old, next, at(2000))).To(BeTrue())
	})

	It("are extended by a renewal under the term that the member holds, and by no other", func() {
		grantor := lease.NewGrantor(span)
		Expect(grantor.Claim(membership.Term{}, old, at(1000))).To(BeTrue())
		Expect(grantor.Renew(old, old, at(1500))).To(BeTrue())
		Expect(grantor.Renew(old, membership.Term{Number: 3, Holder: "a"}, at(1600))).To(BeFalse())
		Expect(grantor.Renew(old, membership.Term{Number: 4, Holder: "b"}, at(1600))).To(BeFalse())
		Expect(grantor.Claim(old, next, at(2399))).To(BeFalse())
		Expect(grantor.Claim(old, next, at(2400))).To(BeTrue())
	})

	It("end at once when their holder gives the lease up, but not by a release of another term", func() {
		grantor := lease.NewGrantor(span)
		Expect(grantor.Claim(membership.Term{}, old, at(1000))).To(BeTrue())
		grantor.Release(old, membership.Term{Number: 3, Holder: "a"})
		Expect(grantor.Claim(old, next, at(1010))).To(BeFalse())
		grantor.Release(old, old)
		Expect(grantor.Claim(old, next, at(1010))).To(BeTrue())
	})

	It("are stood in for by one span of waiting after a start, for every claimant", func() {
		grantor := lease.NewGrantor(span)
		grantor.Wait(at(1000))
		Expect(grantor.Claim(old, membership.Term{Number: 5, Holder: "a"}, at(1899))).To(BeFalse())
		Expect(grantor.Claim(old, next, at(1900))).To(BeTrue())
	})

	It("go to no claim whose term isn't higher than the one held", func() {
		grantor := lease.NewGrantor(span)
		Expect(grantor.Claim(next, old, at(1000))).To(BeFalse())
		Expect(grantor.Claim(next, next, at(1000))).To(BeFalse())
	})
})

var _ = Describe("a holder's lease", func() {
	view := membership.View{Epoch: 2, Members: []string{"a", "b", "c"}}
	var holder *lease.Holder

	BeforeEach(func() { holder = lease.NewHolder(span) })

	It("counts from the sending of the newest round that a majority acknowledged, and ends before the promises", func() {
		first := holder.Start(7, view, at(1000))
		Expect(holder.Acknowledge(first, "a")).To(BeFalse())
		Expect(holder.Acknowledge(first, "a")).To(BeFalse(), "one member counts once")
		Expect(holder.Acknowledge(first, "x")).To(BeFalse(), "it is no member")
		Expect(holder.Remaining(7, at(1001))).To(BeZero())
		Expect(holder.Acknowledge(first, "c")).To(BeTrue())
		Expect(holder.Remaining(7, at(1000))).To(And(BeNumerically(">", span/2), BeNumerically("<", span)))
		second := holder.Start(7, view, at(1300))
		Expect(holder.Acknowledge(second, "b")).To(BeFalse())
		Expect(holder.Remaining(7, at(1899))).To(BeZero(), "the second round has no majority yet")
		Expect(holder.Acknowledge(second, "a")).To(BeTrue())
		Expect(holder.Remaining(7, at(1899))).NotTo(BeZero())
		Expect(holder.Remaining(6, at(1899))).To(BeZero())
	})

	It("isn't shortened by an older round that is acknowledged later", func() {
		older, newer := holder.Start(7, view, at(1000)), holder.Start(7, view, at(1300))
		holder.Acknowledge(newer, "a")
		holder.Acknowledge(newer, "b")
		remaining := holder.Remaining(7, at(1400))
		holder.Acknowledge(older, "a")
		Expect(holder.Acknowledge(older, "b")).To(BeTrue())
		Expect(holder.Remaining(7, at(1400))).To(Equal(remaining))
	})

	It("is over for good once it was given up: neither late answers nor late renewals bring it back", func() {
		round := holder.Start(7, view, at(1000))
		holder.Acknowledge(round, "a")
		holder.Acknowledge(round, "b")
		holder.End()
		Expect(holder.Remaining(7, at(1001))).To(BeZero())
		Expect(holder.Acknowledge(round, "c")).To(BeFalse())
		late := holder.Start(7, view, at(1002))
		holder.Acknowledge(late, "a")
		Expect(holder.Acknowledge(late, "b")).To(BeFalse())
		Expect(holder.Remaining(7, at(1003))).To(BeZero())
		Expect(holder.Remaining(0, at(1003))).To(BeZero())
	})
})
