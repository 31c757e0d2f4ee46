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

var _ = Describe("the summary of the nodes' results for a mirror", func() {
	// simulate runs conversations whose parts reach random nodes; isChosen says
	// whether a node copies a part.
	simulate := func(isChosen func(node int, samplePoint float64) bool) (grant *mirror.Grant, nodes []messages.MirrorStatus, parts map[uint64]int) {
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
		for client := range uint64(200) {
			samplePoint := m.SamplePoint("h", fmt.Sprint(client))
			for range 4 {
				node := random.IntN(4)
				if isChosen(node, samplePoint) {
					parts[client]++
					_, era := records[node].AddOriginal(client, samplePoint)
					records[node].AddComparison(client, era, mirror.Example{Route: "l", Outcome: mirror.Same})
				}
			}
		}
		for node, record := range records {
			nodes = append(nodes, messages.MirrorStatus{Node: fmt.Sprint("n", node), Incarnation: "a", Pages: map[string]mirror.Results{"m": record.Results()}})
		}
		return grant, nodes, parts
	}
	byHash := func(_ int, samplePoint float64) bool { return samplePoint < 0.5 }

	It("claims parity when all nodes select the same conversations", func() {
		grant, nodes, parts := simulate(byHash)
		sum := inspect.Summarize("m", grant, nodes)
		Expect(sum.Whole).To(Equal(len(parts)))
		Expect(sum.Claim).To(HavePrefix("no difference in "))
		for client, count := range parts {
			Expect(count).To(Equal(4), "client %d", client)
		}
	})

	It("sees incomplete conversations when each node selects at random: the check can fail", func() {
		random := rand.New(rand.NewPCG(2, 2))
		_, _, parts := simulate(func(int, float64) bool { return random.Float64() < 0.5 })
		incomplete := 0
		for _, count := range parts {
			if count < 4 {
				incomplete++
			}
		}
		Expect(incomplete).To(BeNumerically(">", 100))
	})

	It("claims nothing while a node has not answered, has restarted, is of another era, or has not received the grant", func() {
		grant, nodes, _ := simulate(byHash)
		Expect(inspect.Summarize("m", grant, nodes[1:]).Claim).To(HavePrefix("nothing"))
		restarted := append([]messages.MirrorStatus{}, nodes...)
		restarted[0].Incarnation = "b"
		Expect(inspect.Summarize("m", grant, restarted).Whole).To(BeZero())
		other := *grant
		other.Era = 2
		Expect(inspect.Summarize("m", &other, nodes).Whole).To(BeZero())
		other = *grant
		other.Settled = false
		Expect(inspect.Summarize("m", &other, nodes).Claim).To(HavePrefix("nothing"))
		Expect(inspect.Summarize("m", nil, nodes).Claim).To(HavePrefix("nothing"))
	})

	It("excludes conversations that a lowered share no longer copies", func() {
		grant, nodes, _ := simulate(byHash)
		lowered := *grant
		lowered.Share = 0.25
		Expect(inspect.Summarize("m", &lowered, nodes).Whole).To(BeNumerically("<", inspect.Summarize("m", grant, nodes).Whole*2/3))
	})
})
