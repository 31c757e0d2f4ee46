package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/storage"
)

// newTestMember returns a trusted member "a" of a view. The other members are unreachable
// unless the test listens on their addresses.
func newTestMember(manualClock *clock.Manual, view membership.View) *node {
	n := &node{
		self: "a", clock: manualClock, hub: feed.NewHub(), log: func(string, string, ...any) {}, connections: map[string]*rpc.Client{},
		memberLoop: clock.NewLoop[func()](256), livenessWatch: membership.NewLivenessWatch(manualClock, time.Second), lease: newLeaderLease(testLeaseDuration),
		listReads: newListTracker(manualClock.Monotonic()),
	}
	n.settings.Store(&settings.Settings{Tuning: settings.Defaults()})
	disk, err := storage.OpenDir(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	n.store, err = openStore(disk, idempotency.Policy{OpenLimit: 10, KeyWindow: time.Minute}, manualClock, func(err error) { Expect(err).NotTo(HaveOccurred()) })
	Expect(err).NotTo(HaveOccurred())
	n.store.tables.grantor = lease.NewGrantor(testLeaseDuration)
	n.callHandlers = n.newHandlers()
	n.coordinator = newCoordinator(n)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go n.store.run(ctx)
	n.adoptView(view)
	n.trust()
	return n
}

const testLeaseDuration = 900 * time.Millisecond

var _ = Describe("the leader lease at a member", func() {
	var n *node
	var manualClock *clock.Manual
	view := membership.View{Epoch: 1, Members: []string{"a", "b", "c"}}
	termOf := func(holder string, number uint64) membership.Term {
		return membership.Term{Number: number, Holder: holder}
	}
	done := func(call func(func(messages.Ack))) bool {
		got := make(chan messages.Ack, 1)
		call(func(done messages.Ack) { got <- done })
		return (<-got).OK
	}
	claim := func(epoch membership.Epoch, term membership.Term) bool {
		return done(func(answer func(messages.Ack)) { n.onClaim(messages.Claim{Epoch: epoch, Term: term}, answer) })
	}
	renew := func(epoch membership.Epoch, term membership.Term) bool {
		return done(func(answer func(messages.Ack)) { n.onRenew(messages.Renew{Epoch: epoch, Term: term}, answer) })
	}

	BeforeEach(func() {
		manualClock = &clock.Manual{Now: time.Hour}
		n = newTestMember(manualClock, view)
	})

	It("is refused to another member while the leader renews it, and granted once the last promise has expired", func() {
		Expect(claim(1, termOf("b", 1))).To(BeTrue())
		manualClock.Sleep(testLeaseDuration - time.Millisecond)
		Expect(claim(1, termOf("c", 2))).To(BeFalse())
		Expect(renew(1, termOf("b", 1))).To(BeTrue())
		manualClock.Sleep(testLeaseDuration - time.Millisecond)
		Expect(claim(1, termOf("c", 2))).To(BeFalse())
		manualClock.Sleep(time.Millisecond)
		Expect(claim(1, termOf("c", 2))).To(BeTrue())
		Expect(renew(1, termOf("b", 1))).To(BeFalse(), "the former leader is not rejected")
	})

	It("is neither granted nor renewed in another epoch or by an untrusted member", func() {
		Expect(claim(2, termOf("b", 1))).To(BeFalse())
		Expect(claim(1, termOf("b", 1))).To(BeTrue())
		Expect(renew(2, termOf("b", 1))).To(BeFalse())
		n.distrust()
		Expect(renew(1, termOf("b", 1))).To(BeFalse())
		manualClock.Sleep(testLeaseDuration)
		Expect(claim(1, termOf("c", 2))).To(BeFalse())
	})

	It("can be claimed by another member as soon as the leader releases it", func() {
		Expect(claim(1, termOf("b", 1))).To(BeTrue())
		Expect(done(func(answer func(messages.Ack)) { n.onRelease(messages.Release{Term: termOf("b", 1)}, answer) })).To(BeTrue())
		Expect(claim(1, termOf("c", 2))).To(BeTrue())
	})

	Describe("held by this node", func() {
		// acquireLease acquires the lease with the votes of this member and one more.
		acquireLease := func(number uint64) {
			round := n.lease.startRound(number, view, manualClock.Monotonic())
			n.lease.acknowledge(round, "a")
			Expect(n.lease.acknowledge(round, "b")).To(BeTrue())
			n.ownTerm.Store(number)
			n.isLeader.Store(true)
			n.coordinator.term = number
		}
		published := func() []feed.FleetVersion {
			return []feed.FleetVersion{n.coordinator.lastFleet.Version(), n.fleet().Version()}
		}

		BeforeEach(func() {
			Expect(claim(1, termOf("a", 1))).To(BeTrue())
			acquireLease(1)
			n.coordinator.listedServers = []feed.Server{{ID: "i-1", Service: "fees", IsReady: true}}
		})

		It("permits publishing and writing while it is valid", func() {
			Expect(n.coordinator.ensureLeading()).To(BeTrue())
			n.coordinator.publish()
			Eventually(func() uint64 { return n.fleet().Term }).Should(BeEquivalentTo(1))
		})

		It("stops publishing and writing when it expires by the monotonic clock, without any message", func() {
			manualClock.Sleep(testLeaseDuration)
			Expect(n.coordinator.ensureLeading()).To(BeFalse())
			before := published()
			n.coordinator.publish()
			n.coordinator.updateServers([]feed.Server{{ID: "i-2", Service: "fees", IsReady: true}})
			n.coordinator.sendFleet(feed.Fleet{Term: 1, Count: 9})
			Consistently(func() []feed.FleetVersion { return published() }, "100ms").Should(Equal(before))
			Expect(n.coordinator.commitState(rollout.State{Subject: "fees"})).NotTo(Succeed())
			Expect(n.coordinator.states).To(BeEmpty())
			var stored int
			n.store.read(func(t *tables) { stored = len(t.rollouts) })
			Expect(stored).To(BeZero(), "a write was stored after the lease had expired")
			ordered := make(chan messages.OrderResponse, 1)
			n.runCommand(nil, func(answer messages.OrderResponse) { ordered <- answer }, func(*coordinator) (apierror.Kind, string) { panic("decided without a valid lease") })
			go n.coordinator.run(GinkgoT().Context())
			Eventually(ordered).Should(Receive(HaveField("Kind", apierror.ControlPlaneUnavailable)))
		})

		It("continues under the same term with the same state once a majority renews it", func() {
			manualClock.Sleep(testLeaseDuration)
			Expect(n.coordinator.ensureLeading()).To(BeFalse())
			acquireLease(1)
			Expect(n.coordinator.ensureLeading()).To(BeTrue())
			Expect(n.coordinator.listedServers).To(HaveLen(1))
		})

		It("ends when the node steps down, and a later round of the same term doesn't restore it", func() {
			n.stepDown()
			Eventually(func() bool { return n.holdsLease(1) }).Should(BeFalse())
			Expect(n.lease.startRound(1, view, manualClock.Monotonic())).To(BeZero())
			Expect(n.coordinator.ensureLeading()).To(BeFalse())
		})

		It("does not depend on the wall clock", func() {
			// The clock panics if the wall time is read.
			n.clock = monotonicOnly{manualClock}
			Expect(n.holdsLease(1)).To(BeTrue())
			Expect(renew(1, termOf("a", 1))).To(BeTrue())
			n.refreshQuorumContact()
			_ = n.hasQuorumContact()
		})
	})
})

// monotonicOnly is a clock that panics if its wall time is read.
type monotonicOnly struct{ clock.Clock }

// Wall panics.
func (monotonicOnly) Wall() time.Time       { panic("the leader lease read the wall clock") }
func (monotonicOnly) SteadyWall() time.Time { panic("the leader lease read the wall clock") }

var _ = Describe("the lease promises of a process that has just started", func() {
	// granted reports whether a claim of leadership is granted now.
	granted := func(n *node) bool {
		return n.store.tables.grantor.Claim(membership.Term{Number: 3, Holder: "b"}, membership.Term{Number: 4, Holder: "c"}, n.clock.Monotonic())
	}
	open := func(manualClock *clock.Manual, folder string, isBootstrap bool) *node {
		set := &settings.Settings{Tuning: settings.Defaults()}
		set.Platform.DataDir, set.Platform.Bootstrap = folder, isBootstrap
		n := &node{self: "a", clock: manualClock, log: func(string, string, ...any) {}}
		Expect(n.openDisk(set)).To(Succeed())
		return n
	}

	It("are empty in a newly bootstrapped system, and unknown for one lease duration in any other", func() {
		manualClock, folder := &clock.Manual{Now: time.Hour}, GinkgoT().TempDir()
		first := open(manualClock, folder, true)
		Expect(granted(first)).To(BeTrue())
		first.store.handle([]command{{apply: func(*tables) []record { return []record{{Term: &membership.Term{Number: 4, Holder: "c"}}} }}})
		for _, folder := range []string{folder, GinkgoT().TempDir()} {
			manualClock.Sleep(time.Hour)
			restarted := open(manualClock, folder, false)
			Expect(granted(restarted)).To(BeFalse())
			manualClock.Sleep(leaseDuration(settings.Defaults()))
			Expect(granted(restarted)).To(BeTrue())
		}
	})
})
