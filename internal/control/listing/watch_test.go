package listing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/membership"
)

func TestListing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "listing")
}

var _ = Describe("the watch over readings of the list", func() {
	const holder = "10.0.0.1:1"
	view := membership.View{Epoch: 1, Members: []string{holder, "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}}
	start := clock.Instant(time.Hour)
	// ranked is the member with a rank.
	ranked := func(rank int) string {
		for _, member := range view.Members {
			if listing.Rank(view, holder, member) == rank {
				return member
			}
		}
		panic("no such rank")
	}
	after := func(span time.Duration) clock.Instant { return start + clock.Instant(span) }
	overdue := func(watch *listing.Watch, now clock.Instant) (out []int) {
		for _, member := range view.Members {
			if watch.Share(view, holder, member, now) > 0 {
				out = append(out, listing.Rank(view, holder, member))
			}
		}
		return out
	}

	It("lets nobody read while the holder's readings come in time, and one after the other when they do not", func() {
		watch := listing.NewWatch(start)
		watch.Hear(holder, 800*time.Millisecond, start)
		Expect(overdue(watch, after(900*time.Millisecond))).To(BeEmpty())
		Expect(overdue(watch, after(1000*time.Millisecond))).To(ConsistOf(0))
		Expect(overdue(watch, after(1300*time.Millisecond))).To(ConsistOf(0, 1))
		Expect(overdue(watch, after(time.Minute))).To(ConsistOf(0, 1, 2))
	})

	It("holds the later ones back while an earlier one reads, and all once the holder is back", func() {
		watch := listing.NewWatch(start)
		watch.Hear(holder, 800*time.Millisecond, start)
		watch.Hear(ranked(0), 800*time.Millisecond, after(1200*time.Millisecond))
		Expect(overdue(watch, after(2000*time.Millisecond))).To(ConsistOf(0))
		watch.Hear(holder, 800*time.Millisecond, after(2000*time.Millisecond))
		Expect(overdue(watch, after(2100*time.Millisecond))).To(BeEmpty())
	})

	It("goes by the latest time that a member has told, whatever the order in which that comes", func() {
		watch := listing.NewWatch(start)
		watch.Hear(holder, time.Second, start)
		watch.Hear(holder, 300*time.Millisecond, start)
		Expect(overdue(watch, after(900*time.Millisecond))).To(BeEmpty())
		Expect(overdue(watch, after(1200*time.Millisecond))).To(ConsistOf(0))
	})

	It("lets others read beside a holder whose pages come in time, but whose readings take too long", func() {
		watch := listing.NewWatch(start)
		watch.Read(200*time.Millisecond, start)
		late := after(0)
		for late < after(1900*time.Millisecond) {
			late += clock.Instant(100 * time.Millisecond)
			watch.Hear(holder, 300*time.Millisecond, late)
		}
		Expect(overdue(watch, late)).To(BeEmpty())
		for late < after(2100*time.Millisecond) {
			late += clock.Instant(100 * time.Millisecond)
			watch.Hear(holder, 300*time.Millisecond, late)
		}
		Expect(overdue(watch, late)).To(ConsistOf(0))
		beside := watch.Share(view, holder, ranked(0), late)
		Expect(beside+listing.HolderShare).To(BeNumerically("<=", 1), "the holder reads too")
		silent := watch.Share(view, holder, ranked(0), late+clock.Instant(time.Second))
		Expect(silent).To(Equal(listing.HolderShare), "nobody else reads")
		watch.Read(300*time.Millisecond, late)
		Expect(overdue(watch, late)).To(BeEmpty())
	})

	It("counts the last holder's reading until the next is due, whoever holds the duty now", func() {
		watch := listing.NewWatch(start)
		watch.Hear(ranked(2), 800*time.Millisecond, after(5*time.Second))
		Expect(overdue(watch, after(5800*time.Millisecond))).To(ConsistOf(2), "it does not count its own")
		Expect(overdue(watch, after(6*time.Second))).To(ConsistOf(0, 2))
	})

	It("gives a holder that was never heard of time for its first reading", func() {
		watch := listing.NewWatch(start)
		Expect(overdue(watch, after(time.Second))).To(BeEmpty())
		Expect(overdue(watch, after(2*time.Second))).To(ContainElement(0))
	})

	It("has no place for the holder, for one outside of the view, or where no holder is known", func() {
		watch := listing.NewWatch(start)
		later := after(time.Minute)
		Expect(watch.Share(view, holder, holder, later)).To(BeZero())
		Expect(watch.Share(view, holder, "10.0.0.9:1", later)).To(BeZero())
		Expect(watch.Share(view, "", ranked(0), later)).To(BeZero())
	})

	It("counts the age of the list from the beginning of the newest reading", func() {
		watch := listing.NewWatch(start)
		_, isKnown := watch.Age(start)
		Expect(isKnown).To(BeFalse())
		watch.Hear(holder, time.Second, start)
		watch.Read(200*time.Millisecond, start)
		// A reading that began earlier but is heard of later makes nothing younger.
		watch.Hear(ranked(0), time.Second, after(100*time.Millisecond))
		watch.Read(900*time.Millisecond, after(100*time.Millisecond))
		age, isKnown := watch.Age(after(time.Second))
		Expect(isKnown).To(BeTrue())
		Expect(age).To(Equal(1200 * time.Millisecond))
		Expect(watch.Silence(holder, after(time.Second))).To(Equal(900 * time.Millisecond))
		Expect(watch.Silence(ranked(0), after(time.Second))).To(Equal(time.Second), "its own reading is no word of another")
	})
})
