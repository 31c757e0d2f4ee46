package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var _ = Describe("Propose", func() {
	It("decides at most one view despite concurrent proposers, lost messages and a member that lost its disk", func() {
		decidedRuns := 0
		for seed := range uint64(500) {
			random := rand.New(rand.NewPCG(seed, 11))
			view := membership.FirstView([]string{"a", "b", "c"})
			acceptors := map[string]*membership.Acceptor{"a": {}, "b": {}, "c": {}}
			decided := map[string]bool{}
			// A concurrent proposer may run its whole proposal between any two messages.
			var depth int
			var propose func(node string, round uint64)
			ask := func(proposal membership.Proposal) (out []membership.Response) {
				for _, member := range view.Members {
					if random.IntN(4) == 0 {
						continue
					}
					if depth < 3 && random.IntN(6) == 0 {
						propose(fmt.Sprint("rival", depth), uint64(1+random.IntN(5)))
					}
					response, _ := acceptors[member].Respond(view, proposal)
					if random.IntN(5) > 0 {
						out = append(out, response)
					}
				}
				return out
			}
			propose = func(node string, round uint64) {
				depth++
				wanted := view.Replace("c", node)
				if out, _, ok := membership.Propose(view, wanted, membership.Ballot{Round: round, Node: node}, ask); ok {
					decided[fmt.Sprint(out)] = true
				}
				depth--
			}
			for round := range uint64(4) {
				propose("n", 1+round*2)
				if random.IntN(3) == 0 {
					var lost membership.Acceptor
					lost = lost.Merge(*acceptors["b"]).Merge(*acceptors["c"])
					acceptors["a"] = &lost
				}
			}
			Expect(len(decided)).To(BeNumerically("<=", 1), "seed %d", seed)
			decidedRuns += len(decided)
		}
		Expect(decidedRuns).To(BeNumerically(">", 250))
	})

	It("returns the newer view to a proposer that is in an older one", func() {
		oldView := membership.FirstView([]string{"a", "b", "c"})
		currentView := oldView.Replace("a", "d")
		acceptor := membership.Acceptor{}
		out, _, ok := membership.Propose(oldView, oldView.Replace("b", "e"), membership.Ballot{Round: 1, Node: "a"}, func(proposal membership.Proposal) []membership.Response {
			response, changed := acceptor.Respond(currentView, proposal)
			Expect(changed).To(BeFalse())
			return []membership.Response{response}
		})
		Expect(ok).To(BeTrue())
		Expect(out).To(Equal(currentView))
	})
})

var _ = Describe("View", func() {
	It("has a read quorum that intersects every majority, without counting the reader", func() {
		for size := 1; size <= 7; size++ {
			var members []string
			for i := range size {
				members = append(members, fmt.Sprint(i))
			}
			view := membership.FirstView(members)
			// A majority that includes the reader has Majority-1 other members.
			Expect(view.ReadQuorum() + view.Majority() - 1).To(BeNumerically(">", size-1))
		}
	})

	It("gives every node the same number of ring predecessors that send it heartbeats", func() {
		members := []string{"a", "b", "c", "d", "e"}
		targeted := map[string]int{}
		for _, member := range members {
			watchers := membership.RingSuccessors(members, member, 2)
			Expect(watchers).To(HaveLen(2))
			Expect(watchers).NotTo(ContainElement(member))
			for _, watcher := range watchers {
				targeted[watcher]++
			}
		}
		for _, member := range members {
			Expect(targeted[member]).To(Equal(2))
		}
	})
})

var _ = Describe("LivenessWatch", func() {
	It("selects the first live and eligible member in view order as the leadership candidate", func() {
		clock := &clock.Manual{}
		watch := membership.NewLivenessWatch(clock, time.Second)
		view := membership.FirstView([]string{"a", "b", "c"})
		Expect(watch.Candidate(view, "c", true)).To(Equal("c"))
		watch.Observe(membership.Heartbeat{From: "a", Eligible: true})
		Expect(watch.Candidate(view, "c", true)).To(Equal("a"))
		clock.Sleep(900 * time.Millisecond)
		watch.Observe(membership.Heartbeat{From: "b", Eligible: true})
		Expect(watch.Candidate(view, "c", true)).To(Equal("a"))
		clock.Sleep(200 * time.Millisecond)
		Expect(watch.Candidate(view, "c", true)).To(Equal("b"))
		watch.Observe(membership.Heartbeat{From: "b", Eligible: false})
		Expect(watch.Candidate(view, "c", true)).To(Equal("c"))
		Expect(watch.Candidate(view, "c", false)).To(BeEmpty())
	})

	It("counts a member as live when another member reports having heard from it", func() {
		clock := &clock.Manual{}
		watch := membership.NewLivenessWatch(clock, time.Second)
		watch.Observe(membership.Heartbeat{From: "b", Seen: map[string]bool{"a": true}})
		Expect(watch.IsLive("a")).To(BeTrue())
		clock.Sleep(600 * time.Millisecond)
		Expect(watch.IsLive("a")).To(BeFalse())
		Expect(watch.DirectlySeen()).To(BeEmpty())
	})
})
