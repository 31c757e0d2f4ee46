package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/storage"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// newMember is a trusted member of a view whose other members can't be reached, but
// for those that answer.
func newMember(hand *timetable.Hand, view membership.View) *node {
	b := &node{
		self: "a", clock: hand, hub: feed.NewHub(), log: func(string, string, ...any) {}, connections: map[string]*rpc.Line{},
		memberLoop: timetable.NewLoop[func()](256), livenessWatch: membership.NewWatch(hand, time.Second), lease: newDutyLease(testSpan),
		listWatch: newListWatch(hand.Steady()),
	}
	b.settings.Store(&settings.Settings{Tuning: settings.Defaults()})
	disk, err := storage.Folder(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	b.store, err = openStore(disk, idempotency.Policy{OpenLimit: 10, KeyWindow: time.Minute}, hand, func(err error) { Expect(err).NotTo(HaveOccurred()) })
	Expect(err).NotTo(HaveOccurred())
	b.store.tables.grantor = lease.NewGrantor(testSpan)
	b.callHandlers = b.newHandlers()
	b.coordinator = newCoordinator(b)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go b.store.run(ctx)
	b.adoptView(view)
	b.trust()
	return b
}

const testSpan = 900 * time.Millisecond

var _ = Describe("the lease of the duty at a member", func() {
	var b *node
	var hand *timetable.Hand
	view := membership.View{Epoch: 1, Members: []string{"a", "b", "c"}}
	termOf := func(holder string, number uint64) membership.Term {
		return membership.Term{Number: number, Holder: holder}
	}
	done := func(call func(func(messages.Done))) bool {
		got := make(chan messages.Done, 1)
		call(func(done messages.Done) { got <- done })
		return (<-got).OK
	}
	claim := func(epoch membership.Epoch, term membership.Term) bool {
		return done(func(answer func(messages.Done)) { b.onClaim(messages.Claim{Epoch: epoch, Term: term}, answer) })
	}
	renew := func(epoch membership.Epoch, term membership.Term) bool {
		return done(func(answer func(messages.Done)) { b.onRenew(messages.Renew{Epoch: epoch, Term: term}, answer) })
	}

	BeforeEach(func() {
		hand = &timetable.Hand{Now: time.Hour}
		b = newMember(hand, view)
	})

	It("is refused to another while the holder renews it, and granted once the last promise has ended", func() {
		Expect(claim(1, termOf("b", 1))).To(BeTrue())
		hand.Now += testSpan - time.Millisecond
		Expect(claim(1, termOf("c", 2))).To(BeFalse())
		Expect(renew(1, termOf("b", 1))).To(BeTrue())
		hand.Now += testSpan - time.Millisecond
		Expect(claim(1, termOf("c", 2))).To(BeFalse())
		hand.Now += time.Millisecond
		Expect(claim(1, termOf("c", 2))).To(BeTrue())
		Expect(renew(1, termOf("b", 1))).To(BeFalse(), "the older holder is fenced off")
	})

	It("is neither granted nor renewed in another epoch, or by a member that isn't trusted", func() {
		Expect(claim(2, termOf("b", 1))).To(BeFalse())
		Expect(claim(1, termOf("b", 1))).To(BeTrue())
		Expect(renew(2, termOf("b", 1))).To(BeFalse())
		b.distrust()
		Expect(renew(1, termOf("b", 1))).To(BeFalse())
		hand.Now += testSpan
		Expect(claim(1, termOf("c", 2))).To(BeFalse())
	})

	It("passes on at once when its holder gives it up", func() {
		Expect(claim(1, termOf("b", 1))).To(BeTrue())
		Expect(done(func(answer func(messages.Done)) { b.onRelease(messages.Release{Term: termOf("b", 1)}, answer) })).To(BeTrue())
		Expect(claim(1, termOf("c", 2))).To(BeTrue())
	})

	Describe("that this node holds", func() {
		// hold wins the lease from this member and one more.
		hold := func(number uint64) {
			round := b.lease.start(number, view, hand.Steady())
			b.lease.acknowledge(round, "a")
			Expect(b.lease.acknowledge(round, "b")).To(BeTrue())
			b.ownTerm.Store(number)
			b.isLeader.Store(true)
			b.coordinator.term = number
		}
		published := func() []feed.Reading { return []feed.Reading{b.coordinator.last.Reading(), b.fleet().Reading()} }

		BeforeEach(func() {
			Expect(claim(1, termOf("a", 1))).To(BeTrue())
			hold(1)
			b.coordinator.listed = []feed.Server{{ID: "i-1", Service: "fees", IsReady: true}}
		})

		It("lets it publish and write while it is valid", func() {
			Expect(b.coordinator.isMaster()).To(BeTrue())
			b.coordinator.publish()
			Eventually(func() uint64 { return b.fleet().Term }).Should(BeEquivalentTo(1))
		})

		It("stops all publishing when it ends by the steady clock, though nobody was heard of", func() {
			hand.Now += testSpan
			Expect(b.coordinator.isMaster()).To(BeFalse())
			before := published()
			b.coordinator.publish()
			b.coordinator.list([]feed.Server{{ID: "i-2", Service: "fees", IsReady: true}})
			b.coordinator.tell(feed.Fleet{Term: 1, Count: 9})
			Consistently(func() []feed.Reading { return published() }, "100ms").Should(Equal(before))
			Expect(b.coordinator.write(trial.State{Subject: "fees"})).NotTo(Succeed())
			Expect(b.coordinator.states).To(BeEmpty())
			var kept int
			b.store.read(func(t *tables) { kept = len(t.trials) })
			Expect(kept).To(BeZero(), "a writing was kept after the end of the lease")
			ordered := make(chan messages.Ordered, 1)
			b.decide(func(answer messages.Ordered) { ordered <- answer }, func(*coordinator) (apierror.Kind, string) { panic("decided without a lease") })
			go b.coordinator.run(GinkgoT().Context())
			Eventually(ordered).Should(Receive(HaveField("Kind", apierror.Gone)))
		})

		It("goes on under its term once a majority has renewed it, with what it knew", func() {
			hand.Now += testSpan
			Expect(b.coordinator.isMaster()).To(BeFalse())
			hold(1)
			Expect(b.coordinator.isMaster()).To(BeTrue())
			Expect(b.coordinator.listed).To(HaveLen(1))
		})

		It("ends at once when it steps down, and a late round doesn't bring it back", func() {
			b.stepDown()
			Eventually(func() bool { return b.holdsLease(1) }).Should(BeFalse())
			Expect(b.lease.start(1, view, hand.Steady())).To(BeZero())
			Expect(b.coordinator.isMaster()).To(BeFalse())
		})

		It("is not changed by a step of the time of day", func() {
			// The clock of the lease has no time of day to read: Wall isn't asked.
			b.clock = steadyOnly{hand}
			Expect(b.holdsLease(1)).To(BeTrue())
			Expect(renew(1, termOf("a", 1))).To(BeTrue())
			b.touch()
			_ = b.isInContact()
		})
	})
})

// steadyOnly is a clock whose time of day must not be asked for.
type steadyOnly struct{ timetable.Clock }

// Wall fails the test.
func (steadyOnly) Wall() time.Time { panic("the time of day decides nothing here") }

var _ = Describe("the promises of a process that has just started", func() {
	// granted tells whether a claim of the duty is granted now.
	granted := func(b *node) bool {
		return b.store.tables.grantor.Claim(membership.Term{Number: 3, Holder: "b"}, membership.Term{Number: 4, Holder: "c"}, b.clock.Steady())
	}
	open := func(hand *timetable.Hand, folder string, isBootstrap bool) *node {
		set := &settings.Settings{Tuning: settings.Defaults()}
		set.Platform.DataDir, set.Platform.Bootstrap = folder, isBootstrap
		b := &node{self: "a", clock: hand, log: func(string, string, ...any) {}}
		Expect(b.openDisk(set)).To(Succeed())
		return b
	}

	It("are none in a system that never ran, and unknown for a span in any other", func() {
		hand, folder := &timetable.Hand{Now: time.Hour}, GinkgoT().TempDir()
		first := open(hand, folder, true)
		Expect(granted(first)).To(BeTrue())
		first.store.handle([]command{{apply: func(*tables) []record { return []record{{Term: &membership.Term{Number: 4, Holder: "c"}}} }}})
		for _, folder := range []string{folder, GinkgoT().TempDir()} {
			hand.Now += time.Hour
			again := open(hand, folder, false)
			Expect(granted(again)).To(BeFalse())
			hand.Now += leaseSpan(settings.Defaults())
			Expect(granted(again)).To(BeTrue())
		}
	})
})
