package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/upstream"
)

// outcomeMember is a control-plane member that stores outcomes and grants every vote.
type outcomeMember struct {
	lock   sync.Mutex
	stored map[idempotency.Attempt]int
	// hold, if set, is received from before a record is answered.
	hold chan struct{}
}

func (m *outcomeMember) handlers() rpc.Handlers {
	return rpc.Handlers{
		messages.KindReserve: func(call rpc.Call) {
			call.Reply(messages.Vote{Vote: idempotency.Vote{Verdict: idempotency.Granted}})
		},
		messages.KindRecord: func(call rpc.Call) {
			var record messages.Record
			if rpc.Decode(call.Body, &record) != nil {
				return
			}
			go func() {
				if m.hold != nil {
					<-m.hold
				}
				m.lock.Lock()
				defer m.lock.Unlock()
				if record.Intent.Response != nil {
					m.stored[record.Intent.Attempt] = len(record.Intent.Response.Body)
				}
				call.Reply(messages.Ack{OK: true})
			}()
		},
	}
}

func (m *outcomeMember) storedCount() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return len(m.stored)
}

var _ = Describe("outcomes with long answers", func() {
	const answerBytes, operations = 3_000_000, 16
	const voteTimeout = 2 * time.Second
	var members []*outcomeMember
	var p *proxy
	BeforeEach(func() {
		members = nil
		conf := &settings.Settings{}
		conf.Platform.Limits.MemoryMB = 284
		conf.Platform.Bounds.Sync = clock.Duration(4 * time.Second)
		// A vote that waits behind a record is lost with its connection, or comes when all records have been sent; the machine's speed
		// decides neither.
		conf.Tuning.RecordTimeout, conf.Tuning.VoteTimeout = clock.Duration(250*time.Millisecond), clock.Duration(voteTimeout)
		p = newProxy(conf, clock.Real(), func(string, string, ...any) {})
		view := membership.View{Epoch: 1}
		for range 3 {
			member := &outcomeMember{stored: map[idempotency.Attempt]int{}}
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			go rpc.Serve(listener, member.handlers(), time.Second)
			members, view.Members = append(members, member), append(view.Members, listener.Addr().String())
		}
		p.snapshot.Store(&snapshot{routingTable: p.snapshot.Load().routingTable, balancer: p.snapshot.Load().balancer, view: view})
	})
	newAttempt := func(number int) *keyedAttempt {
		req := &clientRequest{
			Request: &upstream.Request{Header: http.Header{}, Attempt: "t"}, route: &config.Route{RouteSpec: config.RouteSpec{TargetLatency: clock.Duration(10 * voteTimeout)}}, snapshot: p.snapshot.Load(), arrivedAt: time.Now(), deadline: time.Now().Add(2 * voteTimeout),
		}
		req.key = idempotency.Key{Tenant: "h", Key: fmt.Sprint("k-", number)}
		a := &keyedAttempt{proxy: p, request: req, ungranted: map[string]bool{}}
		a.intent = idempotency.Intent{Key: req.key, Attempt: idempotency.Attempt(fmt.Sprint("a-", number)), State: idempotency.AuthorizationPending}
		return a
	}
	complete := func(number int) {
		newAttempt(number).complete(&upstream.Response{Status: 200, Header: http.Header{}, Body: make([]byte, answerBytes), Length: answerBytes})
	}

	// Guards against outcomes that are lost because their records do not fit into the queue to a member, which closed the
	// connection and took other clients' votes with it (review/3).
	It("that end at once are all stored by every member, and delay no vote", func() {
		var operationsDone sync.WaitGroup
		defer operationsDone.Wait()
		for number := range operations {
			operationsDone.Go(func() { complete(number) })
		}
		for number := range 20 {
			a := newAttempt(1000 + number)
			Expect(a.reserve()).To(Equal(idempotency.Won))
		}
		operationsDone.Wait()
		for _, member := range members {
			Eventually(member.storedCount, "5s").Should(Equal(operations))
		}
	})

	It("are sent again to a member that was not reachable at first", func() {
		address := p.snapshot.Load().view.Members[0]
		lane := p.outcomeLane(address)
		lane.client = rpc.NewClient("127.0.0.1:1", 100*time.Millisecond, time.Second)
		done := make(chan struct{})
		go func() { defer close(done); complete(1) }()
		Eventually(members[1].storedCount, "2s").Should(Equal(1))
		Expect(members[0].storedCount()).To(BeZero())
		Eventually(done, "5s").Should(BeClosed(), "a majority has it")
		Expect(lane.waitingBytes()).To(Equal(answerBytes))
		Eventually(lane.waitingBytes, "7s").Should(BeZero(), "it is given up after the retention")
	})

	// Guards against keyed requests that run although their outcomes can't be kept, and against memory without a bound.
	It("that wait for a majority of the members have further keyed requests refused before they run", func() {
		for _, member := range members {
			member.hold = make(chan struct{})
		}
		limit := maxWaitingOutcomes(p.settings.Load().Platform.Limits.MemoryMB)
		Expect(p.canKeepOutcomes(p.snapshot.Load().view)).To(BeTrue())
		var operationsDone sync.WaitGroup
		defer operationsDone.Wait()
		for number := range limit/answerBytes + 2 {
			operationsDone.Go(func() { complete(number) })
		}
		Eventually(func() bool { return p.canKeepOutcomes(p.snapshot.Load().view) }, "5s").Should(BeFalse())
		for _, member := range members[:2] {
			close(member.hold)
		}
		Eventually(func() bool { return p.canKeepOutcomes(p.snapshot.Load().view) }, "10s").Should(BeTrue(), "a majority has caught up")
		close(members[2].hold)
	})
})
