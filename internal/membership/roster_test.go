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

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

var _ = Describe("the agreement on a view", func() {
	It("comes to one view, with rival proposers, lost messages and a wiped member", func() {
		decidedRuns := 0
		for seed := range uint64(500) {
			random := rand.New(rand.NewPCG(seed, 11))
			view := membership.FirstView([]string{"a", "b", "c"})
			acceptors := map[string]*membership.Acceptor{"a": {}, "b": {}, "c": {}}
			decided := map[string]bool{}
			// A rival's whole proposal may come between any two messages.
			var depth int
			var propose func(node string, round uint64)
			ask := func(motion membership.Motion) (out []membership.Response) {
				for _, member := range view.Members {
					if random.IntN(4) == 0 {
						continue
					}
					if depth < 3 && random.IntN(6) == 0 {
						propose(fmt.Sprint("rival", depth), uint64(1+random.IntN(5)))
					}
					response, _ := acceptors[member].On(view, motion)
					if random.IntN(5) > 0 {
						out = append(out, response)
					}
				}
				return out
			}
			propose = func(node string, round uint64) {
				depth++
				wanted := view.Swap("c", node)
				if out, _, isDecided := membership.Propose(view, wanted, membership.Number{Round: round, Node: node}, ask); isDecided {
					decided[fmt.Sprint(out)] = true
				}
				depth--
			}
			for round := range uint64(4) {
				propose("n", 1+round*2)
				if random.IntN(3) == 0 {
					var lost membership.Acceptor
					lost = lost.Join(*acceptors["b"]).Join(*acceptors["c"])
					acceptors["a"] = &lost
				}
			}
			Expect(len(decided)).To(BeNumerically("<=", 1), "seed %d", seed)
			decidedRuns += len(decided)
		}
		Expect(decidedRuns).To(BeNumerically(">", 250))
	})

	It("tells a proposer of an older view which one it missed", func() {
		old := membership.FirstView([]string{"a", "b", "c"})
		present := old.Swap("a", "d")
		acceptor := membership.Acceptor{}
		out, _, isDecided := membership.Propose(old, old.Swap("b", "e"), membership.Number{Round: 1, Node: "a"}, func(motion membership.Motion) []membership.Response {
			response, isChanged := acceptor.On(present, motion)
			Expect(isChanged).To(BeFalse())
			return []membership.Response{response}
		})
		Expect(isDecided).To(BeTrue())
		Expect(out).To(Equal(present))
	})
})

var _ = Describe("a view", func() {
	It("has a read set that meets every majority, the reader left out", func() {
		for size := 1; size <= 7; size++ {
			var members []string
			for i := range size {
				members = append(members, fmt.Sprint(i))
			}
			view := membership.FirstView(members)
			// A majority that counted the reader has Majority-1 others.
			Expect(view.ReadSet() + view.Majority() - 1).To(BeNumerically(">", size-1))
		}
	})

	It("names watchers on the ring that cover every node", func() {
		members := []string{"a", "b", "c", "d", "e"}
		watched := map[string]int{}
		for _, member := range members {
			watchers := membership.Watchers(members, member, 2)
			Expect(watchers).To(HaveLen(2))
			Expect(watchers).NotTo(ContainElement(member))
			for _, watcher := range watchers {
				watched[watcher]++
			}
		}
		for _, member := range members {
			Expect(watched[member]).To(Equal(2))
		}
	})
})

var _ = Describe("the watch", func() {
	It("gives the duty to the first live and fit member in the agreed order", func() {
		hand := &clock.Manual{}
		watch := membership.NewWatch(hand, time.Second)
		view := membership.FirstView([]string{"a", "b", "c"})
		Expect(watch.First(view, "c", true)).To(Equal("c"))
		watch.Hear(membership.Beat{From: "a", IsFit: true})
		Expect(watch.First(view, "c", true)).To(Equal("a"))
		hand.Sleep(900 * time.Millisecond)
		watch.Hear(membership.Beat{From: "b", IsFit: true})
		Expect(watch.First(view, "c", true)).To(Equal("a"))
		hand.Sleep(200 * time.Millisecond)
		Expect(watch.First(view, "c", true)).To(Equal("b"))
		watch.Hear(membership.Beat{From: "b", IsFit: false})
		Expect(watch.First(view, "c", true)).To(Equal("c"))
		Expect(watch.First(view, "c", false)).To(BeEmpty())
	})

	It("takes a watcher's word for whom it heard", func() {
		hand := &clock.Manual{}
		watch := membership.NewWatch(hand, time.Second)
		watch.Hear(membership.Beat{From: "b", Seen: map[string]bool{"a": true}})
		Expect(watch.IsLive("a")).To(BeTrue())
		hand.Sleep(600 * time.Millisecond)
		Expect(watch.IsLive("a")).To(BeFalse())
		Expect(watch.Direct()).To(BeEmpty())
	})
})
