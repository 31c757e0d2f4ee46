package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/storage"
)

var _ = Describe("a member whose table is over its soft limit", func() {
	const keyWindow = time.Minute
	key := idempotency.Key{Tenant: "h", Key: "k"}
	var n *node
	var manual *clock.Manual
	BeforeEach(func() {
		manual = &clock.Manual{Now: time.Hour}
		n = &node{self: "a", clock: manual, log: func(string, string, ...any) {}}
		disk, err := storage.OpenDir(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		policy := idempotency.Policy{OpenLimit: 10, KeyWindow: keyWindow, Retention: time.Hour, SoftLimitBytes: 1}
		n.store, err = openStore(disk, policy, manual, func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(err).NotTo(HaveOccurred())
		n.store.tables.trusted = true
		n.store.tables.view = membership.View{Epoch: 1, Members: []string{"a"}}
	})
	// run runs the store's loop until the call is done, so that maintenance runs only where the spec asks for it.
	run := func(call func(done func())) {
		ctx, stop := context.WithCancel(context.Background())
		done, stopped := make(chan struct{}), make(chan struct{})
		go func() { n.store.run(ctx); close(stopped) }()
		call(func() { close(done) })
		<-done
		stop()
		<-stopped
	}
	// complete has a proxy whose time of day is off by so much run an operation of the key.
	complete := func(proxyClockError time.Duration) {
		intent := idempotency.Intent{Key: key, Attempt: "a-1", Route: "fee", Service: "fees", Reservation: "a-1", CreatedMs: manual.SteadyWall().Add(proxyClockError).UnixMilli()}
		run(func(done func()) {
			n.onReserve(messages.Reserve{Epoch: 1, Intent: intent}, func(vote messages.Vote) { Expect(vote.Vote.Verdict).To(Equal(idempotency.Granted)); done() })
		})
		intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Status: 200, Body: []byte("paid")}
		run(func(done func()) { n.onRecord(messages.Record{Intent: intent}, func(messages.Ack) { done() }) })
	}
	isHeld := func() bool {
		n.store.maintain()
		return n.store.tables.voter.Find(key) != nil
	}

	// Guards against a key that runs twice because its outcome was taken for older than the key's window and removed.
	DescribeTable("keeps outcomes for the key's window, whatever the time of day says", func(step, proxyClockError time.Duration) {
		complete(proxyClockError)
		Expect(isHeld()).To(BeTrue())
		manual.WallStep = step
		Expect(isHeld()).To(BeTrue(), "after a step of the time of day")
		manual.Sleep(keyWindow)
		Expect(isHeld()).To(BeTrue(), "at the end of the window")
		manual.Sleep(keyWindow)
		Expect(isHeld()).To(BeFalse(), "after the window, as the table is over its limit")
	},
		Entry("no step", time.Duration(0), time.Duration(0)),
		Entry("an hour ahead", time.Hour, time.Duration(0)),
		Entry("an hour back", -time.Hour, time.Duration(0)),
		Entry("a proxy that is an hour behind", time.Duration(0), -time.Hour),
	)
})
