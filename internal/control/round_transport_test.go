package control

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

// unresponsiveMember returns the address of a member that accepts connections but never
// answers, like a stopped process.
func unresponsiveMember() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

var _ = Describe("a round with unresponsive members", func() {
	var n *node
	var view membership.View
	low, high := membership.Ballot{Round: 2, Node: "a#1"}, membership.Ballot{Round: 9, Node: "b#1"}

	BeforeEach(func() {
		view = membership.View{Epoch: 1, Members: []string{"a", unresponsiveMember(), unresponsiveMember()}}
		n = newTestMember(&clock.Manual{Now: time.Hour}, view)
	})

	// withoutWaiting checks that run doesn't wait for the unresponsive members.
	withoutWaiting := func(run func()) {
		startedAt := time.Now()
		run()
		Expect(time.Since(startedAt)).To(BeNumerically("<", n.settings.Load().Tuning.VoteTimeout.Std()))
	}

	It("fails immediately and returns the higher ballot when a member has promised one", func() {
		n.store.read(func(t *tables) { _, _ = t.registry.Promise(registry.Prepare{Epoch: 1, Index: 1, Ballot: high}) })
		transport := &roundTransport{node: n, view: view, startedAt: n.clock.Monotonic()}
		withoutWaiting(func() {
			round := registry.Round{Epoch: 1, Index: 1, Ballot: low, Majority: 2}
			outcome := round.Run(transport)
			Expect(outcome.Decided).To(BeNil())
			Expect(outcome.HighestBallot).To(Equal(high))
		})
		withoutWaiting(func() {
			accepted := transport.Accept(registry.Accept{Epoch: 1, Ballot: low, Change: registry.Change{Index: 1}})
			Expect(accepted).To(HaveLen(1))
			Expect(accepted[0].OK).To(BeFalse())
			Expect(accepted[0].Promised).To(Equal(high))
		})
	})

	It("fails immediately when a member already knows the decision", func() {
		n.learnAndWait([]registry.Change{{Index: 1}})
		withoutWaiting(func() {
			round := registry.Round{Epoch: 1, Index: 1, Ballot: low, Majority: 2}
			Expect(round.Run(&roundTransport{node: n, view: view, startedAt: n.clock.Monotonic()}).HighestIndex).To(BeEquivalentTo(1))
		})
	})

	It("waits for the unresponsive members until the vote timeout when no member objects", func() {
		startedAt := time.Now()
		round := registry.Round{Epoch: 1, Index: 1, Ballot: low, Majority: 2}
		outcome := round.Run(&roundTransport{node: n, view: view, startedAt: n.clock.Monotonic()})
		Expect(outcome.Responses).To(Equal(1))
		Expect(time.Since(startedAt)).To(BeNumerically("~", n.settings.Load().Tuning.VoteTimeout.Std(), 100*time.Millisecond))
	})

	It("fails immediately on a higher ballot for a new view as well", func() {
		n.store.read(func(t *tables) { _, _ = t.acceptor.Respond(t.view, membership.Proposal{Epoch: 1, Ballot: high}) })
		withoutWaiting(func() {
			responses := n.requestViewChange(view, membership.Proposal{Epoch: 1, Ballot: low})
			Expect(responses).To(HaveLen(1))
			Expect(responses[0].Promised).To(Equal(high))
		})
	})
})
