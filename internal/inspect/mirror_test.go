package inspect_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/inspect"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/mirror"
)

var _ = Describe("the sum of what nodes know of a mirror", func() {
	// converse lets learners talk to nodes by turns; isChosen says whether a node
	// copies one part of a conversation.
	converse := func(isChosen func(node int, draw float64) bool) (grant *mirror.Grant, nodes []messages.MirrorStatus, parts map[uint64]int) {
		m := mirror.Mirror{Name: "m", Shadow: "next"}
		grant = &mirror.Grant{Name: "m", Version: 1, Share: 0.5, Era: 1, Settled: true}
		records := make([]*mirror.Recorder, 4)
		for node := range records {
			grant.Incarnations ^= mirror.IncarnationHash(fmt.Sprint("n", node), "a")
		}
		for node := range records {
			records[node] = mirror.NewRecorder()
			records[node].SetGrant(*grant)
		}
		random, parts := rand.New(rand.NewPCG(1, 1)), map[uint64]int{}
		for learner := range uint64(200) {
			draw := m.SamplePoint("h", fmt.Sprint(learner))
			for range 4 {
				node := random.IntN(4)
				if isChosen(node, draw) {
					parts[learner]++
					_, era := records[node].AddOriginal(learner, draw)
					records[node].AddComparison(learner, era, mirror.Example{Route: "l", Outcome: mirror.Same})
				}
			}
		}
		for node, record := range records {
			nodes = append(nodes, messages.MirrorStatus{Node: fmt.Sprint("n", node), Incarnation: "a", Pages: map[string]mirror.Results{"m": record.Results()}})
		}
		return grant, nodes, parts
	}
	byHash := func(_ int, draw float64) bool { return draw < 0.5 }

	It("claims parity over whole conversations that all nodes chose alike", func() {
		grant, nodes, parts := converse(byHash)
		sum := inspect.Summarize("m", grant, nodes)
		Expect(sum.Whole).To(Equal(len(parts)))
		Expect(sum.Claim).To(HavePrefix("no difference in "))
		for learner, count := range parts {
			Expect(count).To(Equal(4), "learner %d", learner)
		}
	})

	It("gets torn conversations from a choice by lot at each node: the check can fail", func() {
		random := rand.New(rand.NewPCG(2, 2))
		_, _, parts := converse(func(int, float64) bool { return random.Float64() < 0.5 })
		torn := 0
		for _, count := range parts {
			if count < 4 {
				torn++
			}
		}
		Expect(torn).To(BeNumerically(">", 100))
	})

	It("claims nothing while a node has not answered, lives anew, is of another era, or lacks the order", func() {
		grant, nodes, _ := converse(byHash)
		Expect(inspect.Summarize("m", grant, nodes[1:]).Claim).To(HavePrefix("nothing"))
		anew := append([]messages.MirrorStatus{}, nodes...)
		anew[0].Incarnation = "b"
		Expect(inspect.Summarize("m", grant, anew).Whole).To(BeZero())
		other := *grant
		other.Era = 2
		Expect(inspect.Summarize("m", &other, nodes).Whole).To(BeZero())
		other = *grant
		other.Settled = false
		Expect(inspect.Summarize("m", &other, nodes).Claim).To(HavePrefix("nothing"))
		Expect(inspect.Summarize("m", nil, nodes).Claim).To(HavePrefix("nothing"))
	})

	It("takes conversations out that a lowered share no longer copies", func() {
		grant, nodes, _ := converse(byHash)
		lowered := *grant
		lowered.Share = 0.25
		Expect(inspect.Summarize("m", &lowered, nodes).Whole).To(BeNumerically("<", inspect.Summarize("m", grant, nodes).Whole*2/3))
	})
})
