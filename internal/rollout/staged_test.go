package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
)

// stagedModel is a simple model of nodes in three zones during a staged change.
type stagedModel struct {
	clock    *clock.Manual
	random   *rand.Rand
	detector *outlier.Aggregator
	state    rollout.State
	// faultRate is the probability that a request under the change ends with the
	// outcome fault, commonFaultRate that any other request fails.
	faultRate       float64
	fault           outlier.Outcome
	commonFaultRate float64
	// ignoreEvidence continues the change whatever the evidence says.
	ignoreEvidence bool
	silentNode     string
	faultyRequests int
	waveStartedAt  time.Duration
}

func newStagedModel(seed uint64) *stagedModel {
	m := &stagedModel{clock: &clock.Manual{}, random: rand.New(rand.NewPCG(seed, 9)), fault: outlier.Failed}
	m.detector = outlier.NewAggregator(m.clock)
	var nodes []string
	for i := range 12 {
		nodes = append(nodes, fmt.Sprintf("%c%02d", 'a'+i/4, i))
	}
	m.state, _ = rollout.State{Subject: rollout.StagedPrefix + "x"}.Start("x", clock.Duration(2*time.Minute))
	m.state.Items = []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: 2}}
	m.state.Waves = rollout.PlanWaves("a01", nodes, func(node string) string { return node[:1] })
	return m
}

// run simulates until the change has ended or reached all nodes.
func (m *stagedModel) run() {
	counters, rounds := map[string]*outlier.Recorder{}, map[string]int{}
	for m.state.Phase == rollout.Canary && m.clock.Now < 2*time.Minute {
		reached := map[string]bool{}
		for _, node := range m.state.ReachedNodes() {
			reached[node] = true
		}
		for _, wave := range m.state.Waves {
			for _, node := range wave {
				if counters[node] == nil {
					counters[node] = outlier.NewRecorder()
				}
				for range 3 {
					outcome := outlier.Success
					label := outlier.Label{Subject: m.state.Subject, Number: m.state.Number, Route: "l", OnTrial: reached[node]}
					if reached[node] {
						label.Wave = m.state.Wave
					}
					switch {
					case reached[node] && m.random.Float64() < m.faultRate:
						outcome = m.fault
						m.faultyRequests++
					case m.random.Float64() < m.commonFaultRate:
						outcome = outlier.Failed
					}
					counters[node].Record(label, outcome)
				}
				if rounds[node]++; rounds[node]%2 == 0 && node != m.silentNode && m.random.IntN(5) > 0 {
					m.detector.AddReport(counters[node].Report(node, "1"))
				}
			}
		}
		m.clock.Sleep(100 * time.Millisecond)
		m.detector.UpdateWindow()
		finding := m.detector.Evaluate(m.state.Subject, m.state.Number, m.state.Wave)
		observed := rollout.StagedObservation{Elapsed: m.clock.Now, InWave: m.clock.Now - m.waveStartedAt, Finding: finding}
		if m.ignoreEvidence {
			observed.Finding.Verdict, observed.Finding.Suspect = outlier.Pass, false
		}
		for node := range reached {
			observed.ReportMissing = observed.ReportMissing || !m.detector.ReportedWithin(node, time.Second)
			if observed.InWave > 2*time.Second && !m.detector.ReportedWithin(node, 2*time.Second) {
				observed.SilentNode = node
			}
		}
		if event, reason := m.state.NextStaged(observed); event != rollout.NoEvent {
			m.state, _ = m.state.Apply(event, reason, m.clock.Now)
			m.waveStartedAt = m.clock.Now
		}
	}
}

var _ = Describe("a staged change", func() {
	It("reaches one node, then its zone, then zone by zone", func() {
		m := newStagedModel(1)
		Expect(m.state.Waves).To(Equal([][]string{{"a01"}, {"a00", "a02", "a03"}, {"b04", "b05", "b06", "b07"}, {"c08", "c09", "c10", "c11"}}))
		Expect(m.state.ReachedNodes()).To(Equal([]string{"a01"}))
		m.run()
		Expect(m.state.Phase).To(Equal(rollout.Shifting))
		Expect(m.state.ReachedNodes()).To(HaveLen(12))
	})

	DescribeTable("is reverted in its first wave if it does harm", func(fault outlier.Outcome, faultRate float64) {
		for seed := range uint64(20) {
			m := newStagedModel(seed)
			m.faultRate, m.fault, m.commonFaultRate = faultRate, fault, 0.01
			m.run()
			Expect(m.state.Phase).To(Equal(rollout.Reverted), "seed %d", seed)
			Expect(m.state.Wave).To(BeZero(), "seed %d", seed)
			// As a control, with the evidence ignored it reaches every node and harms
			// many times as many requests.
			control := newStagedModel(seed)
			control.faultRate, control.fault, control.ignoreEvidence = faultRate, fault, true
			control.run()
			Expect(control.state.Phase).To(Equal(rollout.Shifting))
			Expect(control.faultyRequests).To(BeNumerically(">", 8*m.faultyRequests))
		}
	},
		Entry("failures", outlier.Failed, 0.4),
		Entry("late reads", outlier.Slow, 0.5),
		Entry("aborted downloads", outlier.Broken, 0.8),
		Entry("missing keyed operations", outlier.Unresolved, 0.2),
		Entry("duplicate keyed operations", outlier.Duplicated, 0.5),
	)

	It("is not reverted for faults that all nodes have, but is reverted for its own in spite of them", func() {
		for seed := range uint64(20) {
			m := newStagedModel(seed)
			m.commonFaultRate = 0.3
			m.run()
			Expect(m.state.Phase).To(Equal(rollout.Shifting), "seed %d: %s", seed, m.state.Reason)
			faulty := newStagedModel(seed)
			faulty.commonFaultRate, faulty.faultRate = 0.1, 0.7
			faulty.run()
			Expect(faulty.state.Phase).To(Equal(rollout.Reverted), "seed %d", seed)
			Expect(faulty.state.Wave).To(BeZero())
		}
	})

	It("is reverted when a reached node stops reporting, or when it is undecided at its end", func() {
		m := newStagedModel(4)
		m.silentNode = "a02"
		m.run()
		Expect(m.state.Reason).To(Equal("node a02 stopped reporting"))
		state := newStagedModel(5).state
		event, _ := state.NextStaged(rollout.StagedObservation{Elapsed: 2 * time.Minute})
		Expect(event).To(Equal(rollout.TimedOut))
	})

	It("does not accept a reverted version again", func() {
		state, _ := newStagedModel(6).state.Apply(rollout.Halted, "", 0)
		item := func(version config.Version) []config.Item {
			return []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: version}}
		}
		Expect(state.RevertedItem(item(2))).To(Equal("l"))
		Expect(state.RevertedItem(item(3))).To(BeEmpty())
	})
})
