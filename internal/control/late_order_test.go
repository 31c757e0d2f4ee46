package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// startReplicator returns the only member of a view, which decides on changes.
func startReplicator() *node {
	n := newTestMember(&clock.Manual{Now: time.Hour}, membership.View{Epoch: 1, Members: []string{"a"}})
	n.configReplicator = newConfigReplicator(n)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go n.configReplicator.run(ctx)
	go n.memberLoop.Run(ctx, runAll, 0, nil)
	return n
}

func serviceItem(name string) config.Item {
	body := fmt.Sprintf(`{"Name":%q,"Revision":"r1"}`, name)
	return config.Item{ID: config.ID{Class: config.ServiceItem, Name: name}, Version: 1, Body: []byte(body)}
}

// routeItem returns a route of the service "s" at the only place that the specs use.
func routeItem(name string) config.Item {
	body := fmt.Sprintf(`{"Name":%q,"PathPrefix":"/place/","RouteType":"safe","Timeout":"1s","Service":"s","Revision":"r1"}`, name)
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: 1, Host: "h.example", Body: []byte(body)}
}

func removedRoute(name string) config.Item {
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: 2, Removed: true}
}

func holdsItem(n *node, item config.Item) (holds bool) {
	n.store.read(func(t *tables) {
		stored, found := t.configuration()[item.ID]
		holds = found && !stored.Removed
	})
	return holds
}

// presentCaller counts how often it is asked, and leaves at the given call.
type presentCaller struct{ asked, leavesAt int }

func (c *presentCaller) HasLeft() bool {
	c.asked++
	return c.asked == c.leavesAt
}

var _ = Describe("a configuration change that another node forwarded", func() {
	var n *node
	propose := func(index registry.Index, item config.Item) messages.OrderResponse {
		responses := make(chan messages.OrderResponse, 1)
		in := messages.Propose{Items: []config.Item{item}, Base: &index, BaseTime: n.clock.Wall().UnixNano()}
		n.onPropose(in, func(response messages.OrderResponse) { responses <- response })
		return <-responses
	}

	BeforeEach(func() {
		n = startReplicator()
		Expect(n.modify([]config.Item{serviceItem("s"), routeItem("first")}, internalCaller{})).To(Succeed())
	})

	// Guards against a forwarded order that is read late and decided although its sender was told meanwhile that it is invalid.
	It("has no effect if it was invalid for a configuration since its base", func() {
		Expect(propose(1, routeItem("second")).Kind).To(Equal(apierror.InvalidConfiguration))
		Expect(n.modify([]config.Item{removedRoute("first")}, internalCaller{})).To(Succeed())
		late := propose(1, routeItem("second"))
		Expect(late.IsStale).To(BeTrue())
		Expect(late.Index).To(BeEquivalentTo(2))
		Expect(late.Kind).To(Equal(apierror.ControlPlaneUnavailable))
		Expect(holdsItem(n, routeItem("second"))).To(BeFalse())
		Expect(propose(2, routeItem("second"))).To(Equal(messages.OrderResponse{Index: 3}))
		Expect(holdsItem(n, routeItem("second"))).To(BeTrue())
	})

	It("is decided at once if no change since its base touches it", func() {
		Expect(n.modify([]config.Item{serviceItem("other")}, internalCaller{})).To(Succeed())
		Expect(propose(1, serviceItem("new"))).To(Equal(messages.OrderResponse{Index: 3}))
	})

	It("has no effect if its base is ahead of the configuration", func() {
		Expect(propose(7, serviceItem("early")).IsStale).To(BeTrue())
		Expect(holdsItem(n, serviceItem("early"))).To(BeFalse())
	})

	It("is decided without a base, as older builds send it", func() {
		responses := make(chan messages.OrderResponse, 1)
		n.onPropose(messages.Propose{Items: []config.Item{serviceItem("old")}}, func(response messages.OrderResponse) { responses <- response })
		Expect(<-responses).To(Equal(messages.OrderResponse{Index: 2}))
	})
})

var _ = Describe("an operator's order", func() {
	It("is proposed again with a newer base while its caller waits, and not once it has left", func() {
		for _, leavesAt := range []int{0, 2} {
			n := startReplicator()
			Expect(n.modify([]config.Item{serviceItem("s"), routeItem("first")}, internalCaller{})).To(Succeed())
			Expect(n.modify([]config.Item{removedRoute("first")}, internalCaller{})).To(Succeed())
			caller := &presentCaller{leavesAt: leavesAt}
			// The first base is ahead of the configuration, as after all disks were lost.
			n.knownIndex.note(9)
			_, err := n.proposeThrough(n.self, &order{items: []config.Item{routeItem("second")}, caller: caller})
			if leavesAt == 0 {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(errAbandoned))
			}
			Expect(caller.asked).To(Equal(2))
			Expect(holdsItem(n, routeItem("second"))).To(Equal(leavesAt == 0))
		}
	})

	It("is not proposed if its caller has left", func() {
		n := startReplicator()
		Expect(n.modify([]config.Item{serviceItem("gone")}, &presentCaller{leavesAt: 1})).To(MatchError(errAbandoned))
		Expect(holdsItem(n, serviceItem("gone"))).To(BeFalse())
	})

	// Guards against a call that waited in the socket of a frozen process and is executed after it was rejected elsewhere.
	It("is not executed when it is read after its client has closed the connection", func() {
		n := startReplicator()
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: n.operatorHandler(), ConnContext: withConnection}
		DeferCleanup(server.Close)
		send := func(name string) net.Conn {
			body := fmt.Sprintf(`{"Upsert":{"Services":[{"Name":%q,"Revision":"r1"}]}}`, name)
			conn, err := net.Dial("tcp4", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, err = fmt.Fprintf(conn, "POST /v1/config/modify HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			Expect(err).NotTo(HaveOccurred())
			return conn
		}
		// The kernel takes both calls before the server reads any.
		Expect(send("abandoned").Close()).To(Succeed())
		waiting := send("waiting")
		DeferCleanup(waiting.Close)
		go func() { _ = server.Serve(listener) }()
		Eventually(func() bool { return holdsItem(n, serviceItem("waiting")) }).Should(BeTrue())
		Consistently(func() bool { return holdsItem(n, serviceItem("abandoned")) }, "300ms").Should(BeFalse())
	})
})

var _ = Describe("an operator's command for a rollout that another node forwarded", func() {
	// Guards against a command that is forwarded late and executed although the leader has rejected it meanwhile.
	It("has no effect once the leader has rejected a command, or leads under another term", func() {
		manualClock := &clock.Manual{Now: time.Hour}
		n := newTestMember(manualClock, membership.View{Epoch: 1, Members: []string{"a"}})
		lead := func(term uint64) {
			manualClock.Sleep(testLeaseDuration)
			granted := make(chan messages.Ack, 1)
			n.onClaim(messages.Claim{Epoch: 1, Term: membership.Term{Number: term, Holder: "a"}}, func(done messages.Ack) { granted <- done })
			Expect((<-granted).OK).To(BeTrue())
			Expect(n.lease.acknowledge(n.lease.startRound(term, n.view(), manualClock.Monotonic()), "a")).To(BeTrue())
			n.ownTerm.Store(term)
			n.isLeader.Store(true)
			Expect(n.coordinator.ensureLeading()).To(BeTrue())
		}
		run := func(base *messages.CommandBase, result apierror.Kind) (response messages.OrderResponse, executed bool) {
			response = n.coordinator.responseTo(base, manualClock.Monotonic(), func(*coordinator) (apierror.Kind, string) {
				executed = true
				return result, ""
			})
			return response, executed
		}

		lead(1)
		first, executed := run(&messages.CommandBase{}, apierror.None)
		Expect(executed).To(BeFalse(), "the sender doesn't know the leader's state")
		Expect(first.IsStale).To(BeTrue())
		base := first.CommandBase
		for _, result := range []apierror.Kind{apierror.None, apierror.ControlPlaneUnavailable, apierror.OrderInProgress} {
			_, executed = run(base, result)
			Expect(executed).To(BeTrue())
		}
		late, executed := run(base, apierror.None)
		Expect(executed).To(BeFalse())
		Expect(late.IsStale).To(BeTrue())
		Expect(late.Kind).To(Equal(apierror.ControlPlaneUnavailable))
		_, executed = run(late.CommandBase, apierror.None)
		Expect(executed).To(BeTrue())
		_, executed = run(nil, apierror.None)
		Expect(executed).To(BeTrue(), "a command of an older build")

		lead(2)
		_, executed = run(late.CommandBase, apierror.None)
		Expect(executed).To(BeFalse())
	})
})
