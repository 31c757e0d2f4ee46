package control

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/storage"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

var _ = Describe("what a member of the core refuses", func() {
	var b *node
	var hand *timetable.Hand
	const promised = 900 * time.Millisecond
	view := membership.View{Epoch: 3, Members: []string{"a", "b", "c"}}

	BeforeEach(func() {
		hand = &timetable.Hand{Now: time.Hour}
		b = &node{self: "a", clock: hand, hub: feed.NewHub(), note: func(string, string, ...any) {}, listWatch: newListTracker(hand.Steady())}
		disk, err := storage.Folder(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		b.store, err = openStore(disk, idempotency.Policy{OpenLimit: 10, KeyWindow: time.Minute}, hand, func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		b.store.tables.grantor = lease.NewGrantor(promised)
		go b.store.run(ctx)
		b.adopt(view)
	})

	vote := func(epoch membership.Epoch, key string) idempotency.Verdict {
		got := make(chan messages.Vote, 1)
		b.onReserve(messages.Reserve{Epoch: epoch, Intent: idempotency.Intent{
			Key: idempotency.Key{Tenant: "h", Key: key}, Attempt: idempotency.Attempt("of " + key), Lane: "fee", Service: "fees", Reservation: key,
		}}, func(vote messages.Vote) { got <- vote })
		return (<-got).Ballot.Verdict
	}
	done := func(call func(func(messages.Done))) bool {
		got := make(chan messages.Done, 1)
		call(func(done messages.Done) { got <- done })
		return (<-got).OK
	}
	claim := func(number uint64) bool {
		return done(func(answer func(messages.Done)) {
			b.onClaim(messages.Claim{Epoch: 3, Term: membership.Term{Number: number, Holder: "b"}}, answer)
		})
	}
	tell := func(fleet feed.Fleet) bool {
		return done(func(answer func(messages.Done)) { b.onFleet(fleet, answer) })
	}
	write := func(term uint64, epoch membership.Epoch) bool {
		return done(func(answer func(messages.Done)) {
			b.onTrial(messages.Trial{Epoch: epoch, State: trial.State{Subject: "fees", Number: 1, Term: term, Count: 1}}, answer)
		})
	}

	It("is any vote while it is not trusted, or under another epoch", func() {
		Expect(vote(3, "k")).To(Equal(idempotency.Refused))
		b.trust()
		Expect(vote(2, "k")).To(Equal(idempotency.Refused))
		Expect(vote(4, "k")).To(Equal(idempotency.Refused))
		Expect(vote(3, "k")).To(Equal(idempotency.Granted))
		b.distrust()
		Expect(vote(3, "l")).To(Equal(idempotency.Refused))
	})

	It("is a claim that is no higher than its fence, and whatever an older holder still says", func() {
		Expect(claim(7)).To(BeFalse(), "it is not trusted yet")
		b.trust()
		Expect(claim(7)).To(BeFalse(), "it is new in the view, and others may have promised the duty")
		hand.Now += promised
		Expect(claim(7)).To(BeTrue())
		Expect(claim(7)).To(BeFalse())
		Expect(claim(6)).To(BeFalse())
		Expect(tell(feed.Fleet{Term: 6, Count: 9, Holder: "old"})).To(BeFalse())
		Expect(tell(feed.Fleet{Term: 7, Count: 1, Holder: "new"})).To(BeTrue())
		Expect(b.fleet().Holder).To(Equal("new"))
		// A change of a reading that it does not hold is of no use to it.
		Expect(tell(feed.Fleet{Term: 7, Count: 5, Holder: "later", Since: &feed.Reading{Term: 7, Count: 4}})).To(BeFalse())
		Expect(b.fleet().Holder).To(Equal("new"))
		Expect(write(6, 3)).To(BeFalse())
		Expect(write(7, 2)).To(BeFalse())
		Expect(write(7, 3)).To(BeTrue())
	})

	It("is a new intent that the cutoff in force turns away, never one that it holds, and none once the cutoff lapsed", func() {
		b.trust()
		body, err := json.Marshal(config.RouteSpec{Name: "fee", PathPrefix: "/fee/", RouteType: config.Idempotent, Service: "fees", MaxAttempts: 1, Revision: 1})
		Expect(err).NotTo(HaveOccurred())
		b.learnNow([]registry.Change{{Index: 1, Items: []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "fee"}, Version: 1, Host: "h", Body: body}}}})
		Expect(vote(3, "old")).To(Equal(idempotency.Granted))
		cutoff := shedding.Cutoff{Service: "fees", Number: 1, Seed: 5, Tier: 0, Part: 1}
		Expect(tell(feed.Fleet{Term: 1, Count: 1, Cutoffs: []shedding.Cutoff{cutoff}})).To(BeTrue())
		Expect(vote(3, "new")).To(Equal(idempotency.Shed))
		Expect(vote(3, "old")).To(Equal(idempotency.Granted), "the attempt's own vote stands")
		var held *idempotency.Intent
		b.store.read(func(t *tables) { held = t.voter.Find(idempotency.Key{Tenant: "h", Key: "new"}) })
		Expect(held).To(BeNil(), "a refusal keeps nothing")
		hand.Now += feed.GrantSpan + time.Millisecond
		Expect(vote(3, "new")).To(Equal(idempotency.Granted))
	})
})
