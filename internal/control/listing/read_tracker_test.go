package listing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

func TestListing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "listing")
}

var _ = Describe("the watch over readings of the list", func() {
	const leader = "10.0.0.1:1"
	view := membership.View{Epoch: 1, Members: []string{leader, "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}}
	start := timetable.Steady(time.Hour)
	// ranked is the member with a rank.
	memberWithRank := func(rank int) string {
		for _, member := range view.Members {
			if listing.StandbyRank(view, leader, member) == rank {
				return member
			}
		}
		panic("no such rank")
	}
	after := func(elapsed time.Duration) timetable.Steady { return start + timetable.Steady(elapsed) }
	standbyReaders := func(tracker *listing.ReadTracker, now timetable.Steady) (ranks []int) {
		for _, member := range view.Members {
			if tracker.StandbyShare(view, leader, member, now) > 0 {
				ranks = append(ranks, listing.StandbyRank(view, leader, member))
			}
		}
		return ranks
	}

	It("lets nobody read while the holder's readings come in time, and one after the other when they do not", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(leader, 800*time.Millisecond, start)
		Expect(standbyReaders(tracker, after(900*time.Millisecond))).To(BeEmpty())
		Expect(standbyReaders(tracker, after(1000*time.Millisecond))).To(ConsistOf(0))
		Expect(standbyReaders(tracker, after(1300*time.Millisecond))).To(ConsistOf(0, 1))
		Expect(standbyReaders(tracker, after(time.Minute))).To(ConsistOf(0, 1, 2))
	})

	It("holds the later ones back while an earlier one reads, and all once the holder is back", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(leader, 800*time.Millisecond, start)
		tracker.RecordPage(memberWithRank(0), 800*time.Millisecond, after(1200*time.Millisecond))
		Expect(standbyReaders(tracker, after(2000*time.Millisecond))).To(ConsistOf(0))
		tracker.RecordPage(leader, 800*time.Millisecond, after(2000*time.Millisecond))
		Expect(standbyReaders(tracker, after(2100*time.Millisecond))).To(BeEmpty())
	})

	It("goes by the latest time that a member has told, whatever the order in which that comes", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(leader, time.Second, start)
		tracker.RecordPage(leader, 300*time.Millisecond, start)
		Expect(standbyReaders(tracker, after(900*time.Millisecond))).To(BeEmpty())
		Expect(standbyReaders(tracker, after(1200*time.Millisecond))).To(ConsistOf(0))
	})

	It("lets others read beside a holder whose pages come in time, but whose readings take too long", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordList(200*time.Millisecond, start)
		now := after(0)
		for now < after(1900*time.Millisecond) {
			now += timetable.Steady(100 * time.Millisecond)
			tracker.RecordPage(leader, 300*time.Millisecond, now)
		}
		Expect(standbyReaders(tracker, now)).To(BeEmpty())
		for now < after(2100*time.Millisecond) {
			now += timetable.Steady(100 * time.Millisecond)
			tracker.RecordPage(leader, 300*time.Millisecond, now)
		}
		Expect(standbyReaders(tracker, now)).To(ConsistOf(0))
		concurrent := tracker.StandbyShare(view, leader, memberWithRank(0), now)
		Expect(concurrent+listing.LeaderShare).To(BeNumerically("<=", 1), "the holder reads too")
		silent := tracker.StandbyShare(view, leader, memberWithRank(0), now+timetable.Steady(time.Second))
		Expect(silent).To(Equal(listing.LeaderShare), "nobody else reads")
		tracker.RecordList(300*time.Millisecond, now)
		Expect(standbyReaders(tracker, now)).To(BeEmpty())
	})

	It("counts the last holder's reading until the next is due, whoever holds the duty now", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(memberWithRank(2), 800*time.Millisecond, after(5*time.Second))
		Expect(standbyReaders(tracker, after(5800*time.Millisecond))).To(ConsistOf(2), "it does not count its own")
		Expect(standbyReaders(tracker, after(6*time.Second))).To(ConsistOf(0, 2))
	})

	It("gives a holder that was never heard of time for its first reading", func() {
		tracker := listing.NewReadTracker(start)
		Expect(standbyReaders(tracker, after(time.Second))).To(BeEmpty())
		Expect(standbyReaders(tracker, after(2*time.Second))).To(ContainElement(0))
	})

	It("has no place for the holder, for one outside of the view, or where no holder is known", func() {
		tracker := listing.NewReadTracker(start)
		later := after(time.Minute)
		Expect(tracker.StandbyShare(view, leader, leader, later)).To(BeZero())
		Expect(tracker.StandbyShare(view, leader, "10.0.0.9:1", later)).To(BeZero())
		Expect(tracker.StandbyShare(view, "", memberWithRank(0), later)).To(BeZero())
	})

	It("counts the age of the list from the beginning of the newest reading", func() {
		tracker := listing.NewReadTracker(start)
		_, ok := tracker.Age(start)
		Expect(ok).To(BeFalse())
		tracker.RecordPage(leader, time.Second, start)
		tracker.RecordList(200*time.Millisecond, start)
		// A reading that began earlier but is heard of later makes nothing younger.
		tracker.RecordPage(memberWithRank(0), time.Second, after(100*time.Millisecond))
		tracker.RecordList(900*time.Millisecond, after(100*time.Millisecond))
		age, ok := tracker.Age(after(time.Second))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(1200 * time.Millisecond))
		Expect(tracker.SinceOtherReport(leader, after(time.Second))).To(Equal(900 * time.Millisecond))
		Expect(tracker.SinceOtherReport(memberWithRank(0), after(time.Second))).To(Equal(time.Second), "its own reading is no word of another")
	})
})
