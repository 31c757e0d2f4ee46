package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/timetable"
)

// line is a slow plain model of nodes in three cells under a staged change.
type line struct {
	hand   *timetable.Hand
	random *rand.Rand
	court  *outlier.Court
	state  rollout.State
	// ill is the chance that an inquiry under the change ends in this way, and
	// wide one that everybody has.
	ill     float64
	illness outlier.Outcome
	wide    float64
	// isBlind goes on whatever the evidence says.
	isBlind bool
	silent  string
	harmed  int
	waveAt  time.Duration
}

func newLine(seed uint64) *line {
	l := &line{hand: &timetable.Hand{}, random: rand.New(rand.NewPCG(seed, 9)), illness: outlier.Failed}
	l.court = outlier.NewCourt(l.hand)
	var nodes []string
	for i := range 12 {
		nodes = append(nodes, fmt.Sprintf("%c%02d", 'a'+i/4, i))
	}
	l.state, _ = rollout.State{Subject: rollout.StagedPrefix + "x"}.Start("x", timetable.Span(2*time.Minute))
	l.state.Items = []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: 2}}
	l.state.Waves = rollout.PlanWaves("a01", nodes, func(node string) string { return node[:1] })
	return l
}

// run plays until the change has ended or everybody has it.
func (l *line) run() {
	boxes, number := map[string]*outlier.Box{}, map[string]int{}
	for l.state.Phase == rollout.Canary && l.hand.Now < 2*time.Minute {
		reached := map[string]bool{}
		for _, node := range l.state.ReachedNodes() {
			reached[node] = true
		}
		for _, wave := range l.state.Waves {
			for _, node := range wave {
				if boxes[node] == nil {
					boxes[node] = outlier.NewBox()
				}
				for range 3 {
					outcome := outlier.Good
					mark := outlier.Mark{Subject: l.state.Subject, Number: l.state.Number, Lane: "l", IsTrial: reached[node]}
					if reached[node] {
						mark.Wave = l.state.Wave
					}
					switch {
					case reached[node] && l.random.Float64() < l.ill:
						outcome = l.illness
						l.harmed++
					case l.random.Float64() < l.wide:
						outcome = outlier.Failed
					}
					boxes[node].Note(mark, outcome)
				}
				if number[node]++; number[node]%2 == 0 && node != l.silent && l.random.IntN(5) > 0 {
					l.court.Hear(boxes[node].Report(node, "1"))
				}
			}
		}
		l.hand.Sleep(100 * time.Millisecond)
		l.court.Tend()
		finding := l.court.Hearing(l.state.Subject, l.state.Number, l.state.Wave)
		facts := rollout.StagedObservation{Elapsed: l.hand.Now, InWave: l.hand.Now - l.waveAt, Finding: finding}
		if l.isBlind {
			facts.Finding.Verdict, facts.Finding.IsSuspect = outlier.Fit, false
		}
		for node := range reached {
			facts.ReportMissing = facts.ReportMissing || !l.court.IsFresh(node, time.Second)
			if facts.InWave > 2*time.Second && !l.court.IsFresh(node, 2*time.Second) {
				facts.SilentNode = node
			}
		}
		if event, reason := l.state.NextStaged(facts); event != rollout.NoEvent {
			l.state, _ = l.state.Apply(event, reason, l.hand.Now)
			l.waveAt = l.hand.Now
		}
	}
}

var _ = Describe("a staged change", func() {
	It("goes to one node, its cell, then cell by cell", func() {
		l := newLine(1)
		Expect(l.state.Waves).To(Equal([][]string{{"a01"}, {"a00", "a02", "a03"}, {"b04", "b05", "b06", "b07"}, {"c08", "c09", "c10", "c11"}}))
		Expect(l.state.ReachedNodes()).To(Equal([]string{"a01"}))
		l.run()
		Expect(l.state.Phase).To(Equal(rollout.Shifting))
		Expect(l.state.ReachedNodes()).To(HaveLen(12))
	})

	DescribeTable("stops at the first node that it harms", func(illness outlier.Outcome, ill float64) {
		for seed := range uint64(20) {
			l := newLine(seed)
			l.ill, l.illness, l.wide = ill, illness, 0.01
			l.run()
			Expect(l.state.Phase).To(Equal(rollout.Reverted), "seed %d", seed)
			Expect(l.state.Wave).To(BeZero(), "seed %d", seed)
			// The control: with the evidence ignored it reaches every node, and
			// harms many times as many.
			blind := newLine(seed)
			blind.ill, blind.illness, blind.isBlind = ill, illness, true
			blind.run()
			Expect(blind.state.Phase).To(Equal(rollout.Shifting))
			Expect(blind.harmed).To(BeNumerically(">", 8*l.harmed))
		}
	},
		Entry("failures", outlier.Failed, 0.4),
		Entry("late reads", outlier.Slow, 0.5),
		Entry("downloads broken off", outlier.Broken, 0.8),
		Entry("keyed operations missing", outlier.Missing, 0.2),
		Entry("keyed operations doubled", outlier.Doubled, 0.5),
	)

	It("is not condemned for a trouble that everybody has, nor excused by it", func() {
		for seed := range uint64(20) {
			l := newLine(seed)
			l.wide = 0.3
			l.run()
			Expect(l.state.Phase).To(Equal(rollout.Shifting), "seed %d: %s", seed, l.state.Reason)
			ill := newLine(seed)
			ill.wide, ill.ill = 0.1, 0.7
			ill.run()
			Expect(ill.state.Phase).To(Equal(rollout.Reverted), "seed %d", seed)
			Expect(ill.state.Wave).To(BeZero())
		}
	})

	It("halts when a reached node falls silent, and undecided at its term", func() {
		l := newLine(4)
		l.silent = "a02"
		l.run()
		Expect(l.state.Reason).To(Equal("node a02 stopped reporting"))
		state := newLine(5).state
		event, _ := state.NextStaged(rollout.StagedObservation{Elapsed: 2 * time.Minute})
		Expect(event).To(Equal(rollout.TimedOut))
	})

	It("uses its version up by falling back", func() {
		state, _ := newLine(6).state.Apply(rollout.Halted, "", 0)
		item := func(version config.Version) []config.Item {
			return []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: version}}
		}
		Expect(state.RevertedItem(item(2))).To(Equal("l"))
		Expect(state.RevertedItem(item(3))).To(BeEmpty())
	})
})
