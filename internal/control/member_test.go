package control

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/storage"
)

var _ = Describe("requests that a control plane member refuses", func() {
	var n *node
	var manualClock *clock.Manual
	const leaseDuration = 900 * time.Millisecond
	view := membership.View{Epoch: 3, Members: []string{"a", "b", "c"}}

	BeforeEach(func() {
		manualClock = &clock.Manual{Now: time.Hour}
		n = &node{self: "a", clock: manualClock, hub: feed.NewHub(), log: func(string, string, ...any) {}, listReads: newListTracker(manualClock.Monotonic())}
		disk, err := storage.OpenDir(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		n.store, err = openStore(disk, idempotency.Policy{OpenLimit: 10, KeyWindow: time.Minute}, manualClock, func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		n.store.tables.grantor = lease.NewGrantor(leaseDuration)
		go n.store.run(ctx)
		n.adoptView(view)
	})

	reserve := func(epoch membership.Epoch, key string) idempotency.Verdict {
		replies := make(chan messages.Vote, 1)
		n.onReserve(messages.Reserve{Epoch: epoch, Intent: idempotency.Intent{
			Key: idempotency.Key{Tenant: "h", Key: key}, Attempt: idempotency.Attempt("of " + key), Route: "fee", Service: "fees", Reservation: key, CreatedMs: manualClock.Wall().UnixMilli(),
		}}, func(vote messages.Vote) { replies <- vote })
		return (<-replies).Vote.Verdict
	}
	done := func(call func(func(messages.Ack))) bool {
		replies := make(chan messages.Ack, 1)
		call(func(done messages.Ack) { replies <- done })
		return (<-replies).OK
	}
	claim := func(number uint64) bool {
		return done(func(answer func(messages.Ack)) {
			n.onClaim(messages.Claim{Epoch: 3, Term: membership.Term{Number: number, Holder: "b"}}, answer)
		})
	}
	sendFleet := func(fleet feed.Fleet) bool {
		return done(func(answer func(messages.Ack)) { n.onFleet(fleet, answer) })
	}
	writeRollout := func(term uint64, epoch membership.Epoch) bool {
		return done(func(answer func(messages.Ack)) {
			n.onRollout(messages.WriteRollout{Epoch: epoch, State: rollout.State{Subject: "fees", Number: 1, Term: term, Count: 1}}, answer)
		})
	}

	It("refuses votes while it is not trusted and for other epochs", func() {
		Expect(reserve(3, "k")).To(Equal(idempotency.Refused))
		n.trust()
		Expect(reserve(2, "k")).To(Equal(idempotency.Refused))
		Expect(reserve(4, "k")).To(Equal(idempotency.Refused))
		Expect(reserve(3, "k")).To(Equal(idempotency.Granted))
		n.distrust()
		Expect(reserve(3, "l")).To(Equal(idempotency.Refused))
	})

	It("refuses lease claims that don't exceed its term, and fleets and rollouts of an earlier leader", func() {
		Expect(claim(7)).To(BeFalse(), "the member is not trusted yet")
		n.trust()
		Expect(claim(7)).To(BeFalse(), "the member is new in the view and doesn't know which promises of the leader lease still run")
		manualClock.Sleep(leaseDuration)
		Expect(claim(7)).To(BeTrue())
		Expect(claim(7)).To(BeFalse())
		Expect(claim(6)).To(BeFalse())
		Expect(sendFleet(feed.Fleet{Term: 6, Count: 9, Leader: "old"})).To(BeFalse())
		Expect(sendFleet(feed.Fleet{Term: 7, Count: 1, Leader: "new"})).To(BeTrue())
		Expect(n.fleet().Leader).To(Equal("new"))
		// A delta to a fleet version that the member doesn't have can't be applied.
		Expect(sendFleet(feed.Fleet{Term: 7, Count: 5, Leader: "later", Base: &feed.FleetVersion{Term: 7, Count: 4}})).To(BeFalse())
		Expect(n.fleet().Leader).To(Equal("new"))
		Expect(writeRollout(6, 3)).To(BeFalse())
		Expect(writeRollout(7, 2)).To(BeFalse())
		Expect(writeRollout(7, 3)).To(BeTrue())
	})

	It("sheds new intents above the cutoff, but not existing ones, and none once the cutoff has expired", func() {
		n.trust()
		body, err := json.Marshal(config.RouteSpec{Name: "fee", PathPrefix: "/fee/", RouteType: config.Idempotent, Service: "fees", MaxAttempts: 1, Revision: 1})
		Expect(err).NotTo(HaveOccurred())
		n.learnAndWait([]registry.Change{{Index: 1, Items: []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "fee"}, Version: 1, Host: "h", Body: body}}}})
		Expect(reserve(3, "old")).To(Equal(idempotency.Granted))
		cutoff := shedding.Cutoff{Service: "fees", Number: 1, Seed: 5, Tier: 0, Fraction: 1}
		Expect(sendFleet(feed.Fleet{Term: 1, Count: 1, Cutoffs: []shedding.Cutoff{cutoff}})).To(BeTrue())
		Expect(reserve(3, "new")).To(Equal(idempotency.Shed))
		Expect(reserve(3, "old")).To(Equal(idempotency.Granted), "the vote given to the attempt earlier remains valid")
		var held *idempotency.Intent
		n.store.read(func(t *tables) { held = t.voter.Find(idempotency.Key{Tenant: "h", Key: "new"}) })
		Expect(held).To(BeNil(), "a shed intent is not stored")
		manualClock.Sleep(feed.GrantDuration + time.Millisecond)
		Expect(reserve(3, "new")).To(Equal(idempotency.Granted))
	})
})
