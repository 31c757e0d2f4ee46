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

var _ = Describe("the tracker of list reads", func() {
	const leader = "10.0.0.1:1"
	view := membership.View{Epoch: 1, Members: []string{leader, "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}}
	start := clock.Instant(time.Hour)
	// memberWithRank returns the member with a standby rank.
	memberWithRank := func(rank int) string {
		for _, member := range view.Members {
			if listing.StandbyRank(view, leader, member) == rank {
				return member
			}
		}
		panic("no such rank")
	}
	after := func(elapsed time.Duration) clock.Instant { return start + clock.Instant(elapsed) }
	standbyReaders := func(tracker *listing.ReadTracker, now clock.Instant) (ranks []int) {
		for _, member := range view.Members {
			if tracker.StandbyShare(view, leader, member, now) > 0 {
				ranks = append(ranks, listing.StandbyRank(view, leader, member))
			}
		}
		return ranks
	}

	It("selects no standby reader while the leader's pages arrive in time, and one after another otherwise", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(leader, 800*time.Millisecond, start)
		Expect(standbyReaders(tracker, after(900*time.Millisecond))).To(BeEmpty())
		Expect(standbyReaders(tracker, after(1000*time.Millisecond))).To(ConsistOf(0))
		Expect(standbyReaders(tracker, after(1300*time.Millisecond))).To(ConsistOf(0, 1))
		Expect(standbyReaders(tracker, after(time.Minute))).To(ConsistOf(0, 1, 2))
	})

	It("holds back standby readers while one with a lower rank reads, and all once the leader reads again", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(leader, 800*time.Millisecond, start)
		tracker.RecordPage(memberWithRank(0), 800*time.Millisecond, after(1200*time.Millisecond))
		Expect(standbyReaders(tracker, after(2000*time.Millisecond))).To(ConsistOf(0))
		tracker.RecordPage(leader, 800*time.Millisecond, after(2000*time.Millisecond))
		Expect(standbyReaders(tracker, after(2100*time.Millisecond))).To(BeEmpty())
	})

	It("uses the latest due time that a member reported, in whatever order the reports arrive", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(leader, time.Second, start)
		tracker.RecordPage(leader, 300*time.Millisecond, start)
		Expect(standbyReaders(tracker, after(900*time.Millisecond))).To(BeEmpty())
		Expect(standbyReaders(tracker, after(1200*time.Millisecond))).To(ConsistOf(0))
	})

	It("selects a standby reader beside a leader whose pages arrive in time but whose reads take too long", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordList(200*time.Millisecond, start)
		reportedAt := after(0)
		for reportedAt < after(1900*time.Millisecond) {
			reportedAt += clock.Instant(100 * time.Millisecond)
			tracker.RecordPage(leader, 300*time.Millisecond, reportedAt)
		}
		Expect(standbyReaders(tracker, reportedAt)).To(BeEmpty())
		for reportedAt < after(2100*time.Millisecond) {
			reportedAt += clock.Instant(100 * time.Millisecond)
			tracker.RecordPage(leader, 300*time.Millisecond, reportedAt)
		}
		Expect(standbyReaders(tracker, reportedAt)).To(ConsistOf(0))
		concurrent := tracker.StandbyShare(view, leader, memberWithRank(0), reportedAt)
		Expect(concurrent+listing.LeaderShare).To(BeNumerically("<=", 1), "the leader reads too")
		silent := tracker.StandbyShare(view, leader, memberWithRank(0), reportedAt+clock.Instant(time.Second))
		Expect(silent).To(Equal(listing.LeaderShare), "no other member reads")
		tracker.RecordList(300*time.Millisecond, reportedAt)
		Expect(standbyReaders(tracker, reportedAt)).To(BeEmpty())
	})

	It("waits until the previous leader's next page is due, whichever member is the leader now", func() {
		tracker := listing.NewReadTracker(start)
		tracker.RecordPage(memberWithRank(2), 800*time.Millisecond, after(5*time.Second))
		Expect(standbyReaders(tracker, after(5800*time.Millisecond))).To(ConsistOf(2), "a member does not wait for its own pages")
		Expect(standbyReaders(tracker, after(6*time.Second))).To(ConsistOf(0, 2))
	})

	It("gives a leader without reports time for its first read", func() {
		tracker := listing.NewReadTracker(start)
		Expect(standbyReaders(tracker, after(time.Second))).To(BeEmpty())
		Expect(standbyReaders(tracker, after(2*time.Second))).To(ContainElement(0))
	})

	It("gives no share to the leader, to a node outside the view, or without a known leader", func() {
		tracker := listing.NewReadTracker(start)
		later := after(time.Minute)
		Expect(tracker.StandbyShare(view, leader, leader, later)).To(BeZero())
		Expect(tracker.StandbyShare(view, leader, "10.0.0.9:1", later)).To(BeZero())
		Expect(tracker.StandbyShare(view, "", memberWithRank(0), later)).To(BeZero())
	})

	It("measures the age of the list from the start of the newest read", func() {
		tracker := listing.NewReadTracker(start)
		_, ok := tracker.Age(start)
		Expect(ok).To(BeFalse())
		tracker.RecordPage(leader, time.Second, start)
		tracker.RecordList(200*time.Millisecond, start)
		// A read that started earlier but is reported later doesn't reduce the age.
		tracker.RecordPage(memberWithRank(0), time.Second, after(100*time.Millisecond))
		tracker.RecordList(900*time.Millisecond, after(100*time.Millisecond))
		age, ok := tracker.Age(after(time.Second))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(1200 * time.Millisecond))
		Expect(tracker.SinceOtherReport(leader, after(time.Second))).To(Equal(900 * time.Millisecond))
		Expect(tracker.SinceOtherReport(memberWithRank(0), after(time.Second))).To(Equal(time.Second), "its own report does not count")
	})
})
