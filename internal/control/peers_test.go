package control

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

// silentMember is the address of a member that takes connections and says nothing, as
// a stopped process does.
func silentMember() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

var _ = Describe("a round with a member that is silent", func() {
	var b *node
	var view membership.View
	low, high := membership.Number{Round: 2, Node: "a#1"}, membership.Number{Round: 9, Node: "b#1"}

	BeforeEach(func() {
		view = membership.View{Epoch: 1, Members: []string{"a", silentMember(), silentMember()}}
		b = newTestMember(&timetable.Hand{Now: time.Hour}, view)
	})

	// atOnce runs act, which must not wait for the silent members.
	atOnce := func(act func()) {
		began := time.Now()
		act()
		Expect(time.Since(began)).To(BeNumerically("<", b.set.Load().Tuning.VoteSpan.Std()))
	}

	It("is lost at once where another shows a higher ballot, and tells the proposer so", func() {
		b.store.read(func(t *tables) { _, _ = t.registry.Promise(registry.Prepare{Epoch: 1, Index: 1, Ballot: high}) })
		p := &peers{node: b, view: view, began: b.clock.Steady()}
		atOnce(func() {
			round := registry.Round{Epoch: 1, Index: 1, Ballot: low, Majority: 2}
			outcome := round.Run(p)
			Expect(outcome.Decided).To(BeNil())
			Expect(outcome.Highest).To(Equal(high))
		})
		atOnce(func() {
			accepted := p.Accept(registry.Accept{Epoch: 1, Ballot: low, Change: registry.Change{Index: 1}})
			Expect(accepted).To(HaveLen(1))
			Expect(accepted[0].OK).To(BeFalse())
			Expect(accepted[0].Promised).To(Equal(high))
		})
	})

	It("is lost at once where another knows the decision", func() {
		b.learnNow([]registry.Change{{Index: 1}})
		atOnce(func() {
			round := registry.Round{Epoch: 1, Index: 1, Ballot: low, Majority: 2}
			Expect(round.Run(&peers{node: b, view: view, began: b.clock.Steady()}).Ahead).To(BeEquivalentTo(1))
		})
	})

	It("waits for the silent ones a vote span and no longer where nothing stands against it", func() {
		began := time.Now()
		round := registry.Round{Epoch: 1, Index: 1, Ballot: low, Majority: 2}
		outcome := round.Run(&peers{node: b, view: view, began: b.clock.Steady()})
		Expect(outcome.Heard).To(Equal(1))
		Expect(time.Since(began)).To(BeNumerically("~", b.set.Load().Tuning.VoteSpan.Std(), 100*time.Millisecond))
	})

	It("is lost at once for a new view too", func() {
		b.store.read(func(t *tables) { _, _ = t.acceptor.On(t.view, membership.Motion{Epoch: 1, Number: high}) })
		atOnce(func() {
			responses := b.requestViewChange(view, membership.Motion{Epoch: 1, Number: low})
			Expect(responses).To(HaveLen(1))
			Expect(responses[0].Promised).To(Equal(high))
		})
	})
})
