package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

var bounds = rollout.Bounds{CanaryShare: 0.1, CommandTimeout: 4 * time.Second}

// serviceModel is a simple model of a service during a rollout: its proxies receive
// the share late or not at all, restart, and send single requests.
type serviceModel struct {
	clock          *clock.Manual
	random         *rand.Rand
	detector       *outlier.Aggregator
	state          rollout.State
	phaseStartedAt time.Duration
	// faultRate is the probability of a failed response of the new version, by elapsed
	// time, route and share.
	faultRate func(elapsed time.Duration, route string, share float64) float64
	// unreachable is the fraction of the proxies that receive nothing after 3 s.
	unreachable float64

	counters       []*outlier.Recorder
	incarnations   []int
	allowances     []*balancer.CanaryAllowance
	receivedShares []float64
	receivedAt     []time.Duration
	share          float64

	total, canaryRequests, canaryFailures int
	fiftiethFailureAt                     time.Duration
	lastCanaryAt                          time.Duration
}

const (
	proxies         = 20
	requestsPerTick = 20 // requests of all proxies in 20 ms: 1000 per second
	tick            = 20 * time.Millisecond
	shareLifetime   = 1200 * time.Millisecond
	duration        = 14 * time.Second
)

func newServiceModel(seed uint64) *serviceModel {
	m := &serviceModel{clock: &clock.Manual{}, random: rand.New(rand.NewPCG(seed, 3))}
	m.detector = outlier.NewAggregator(m.clock)
	m.state, _ = rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", clock.Duration(duration))
	for range proxies {
		m.counters, m.allowances = append(m.counters, outlier.NewRecorder()), append(m.allowances, &balancer.CanaryAllowance{})
		m.incarnations, m.receivedShares, m.receivedAt = append(m.incarnations, 0), append(m.receivedShares, 0), append(m.receivedAt, -time.Hour)
	}
	m.faultRate = func(time.Duration, string, float64) float64 { return 0.004 }
	return m
}

func (m *serviceModel) send(proxy int) {
	m.total++
	route := []string{"read", "read", "read", "read", "read", "read", "read", "read", "read", "rare"}[m.random.IntN(10)]
	now := m.clock.Now
	onCanary := now-m.receivedAt[proxy] < shareLifetime && m.receivedShares[proxy] > 0 &&
		m.allowances[proxy].Take(m.state.Number, m.receivedShares[proxy], route)
	outcome := outlier.Success
	chance := 0.004
	if onCanary {
		m.canaryRequests++
		m.lastCanaryAt = now
		chance = m.faultRate(now, route, m.receivedShares[proxy])
	}
	if m.random.Float64() < chance {
		outcome = outlier.Failed
		if onCanary {
			if m.canaryFailures++; m.canaryFailures == 50 {
				m.fiftiethFailureAt = now
			}
		}
	}
	m.counters[proxy].Record(outlier.Label{Subject: "s", Number: m.state.Number, Route: route, OnTrial: onCanary}, outcome)
}

func (m *serviceModel) observe(behind int) rollout.Observation {
	usage := outlier.Usage{Proxies: proxies, Outdated: behind}
	return rollout.Observation{Elapsed: m.clock.Now, InPhase: m.clock.Now - m.phaseStartedAt, Finding: m.detector.Evaluate("s", m.state.Number, 0), ReadyCapacity: 100, OldCapacity: 100, ProxyProgress: usage}
}

// run simulates the whole duration of the rollout.
func (m *serviceModel) run() {
	for m.clock.Now < duration {
		for range requestsPerTick {
			m.send(m.random.IntN(proxies))
		}
		m.clock.Sleep(tick)
		if m.clock.Now%(100*time.Millisecond) != 0 {
			continue
		}
		for i := range proxies {
			unreachable := float64(i) < m.unreachable*proxies && m.clock.Now > 3*time.Second
			if !unreachable && m.random.IntN(3) > 0 { // updates that arrive late or not at all
				m.receivedShares[i], m.receivedAt[i] = m.share, m.clock.Now
			}
			if m.random.IntN(400) == 0 { // a restart loses the counts
				m.counters[i], m.allowances[i] = outlier.NewRecorder(), &balancer.CanaryAllowance{}
				m.incarnations[i]++
			}
			if m.random.IntN(2) == 0 {
				report := m.counters[i].Report(fmt.Sprint(i), fmt.Sprint(m.incarnations[i]))
				m.detector.AddReport(report)
				if m.random.IntN(10) == 0 {
					m.detector.AddReport(report)
				}
			}
		}
		m.detector.UpdateWindow()
		observed := m.observe(0)
		if event, reason := m.state.Next(observed); event != rollout.NoEvent {
			next, ok := m.state.Apply(event, reason, m.clock.Now)
			Expect(ok).To(BeTrue())
			m.state, m.phaseStartedAt = next, m.clock.Now
		}
		m.share = m.state.Share(bounds, m.observe(0))
	}
}

var _ = Describe("a rollout", func() {
	It("completes with a fit version before its duration ends", func() {
		for seed := range uint64(12) {
			m := newServiceModel(seed)
			m.run()
			Expect(m.state.Phase).To(Equal(rollout.Complete), "seed %d: %s", seed, m.state.Reason)
			Expect(m.state.CurrentVersion).To(Equal("v2"))
			Expect(m.state.Elapsed.Std()).To(BeNumerically("<", duration))
		}
	})

	DescribeTable("reverts a bad version within its exposure limit and on time",
		func(faultRate func(elapsed time.Duration, route string, share float64) float64) {
			for seed := range uint64(12) {
				m := newServiceModel(seed)
				m.faultRate, m.unreachable = faultRate, 0.1
				m.run()
				Expect(m.state.Phase).To(Equal(rollout.Reverted), "seed %d", seed)
				Expect(m.state.CurrentVersion).To(Equal("v1"))
				Expect(float64(m.canaryRequests)).To(BeNumerically("<", 0.1*float64(m.total)+50), "seed %d", seed)
				if m.fiftiethFailureAt > 0 {
					Expect(m.lastCanaryAt - m.fiftiethFailureAt).To(BeNumerically("<", 3*time.Second))
				}
			}
		},
		Entry("failing from the start", func(time.Duration, string, float64) float64 { return 0.5 }),
		Entry("failing after 3 s", func(elapsed time.Duration, _ string, _ float64) float64 { return failsAfter(elapsed, 3*time.Second) }),
		Entry("failing after 8 s", func(elapsed time.Duration, _ string, _ float64) float64 { return failsAfter(elapsed, 8*time.Second) }),
		Entry("failing on one route", func(_ time.Duration, route string, _ float64) float64 {
			if route == "rare" {
				return 0.5
			}
			return 0.004
		}),
		Entry("failing under load", func(_ time.Duration, _ string, share float64) float64 {
			if share > 0.3 {
				return 0.5
			}
			return 0.004
		}),
	)

	It("does not complete without evidence, and gives the reason", func() {
		state, _ := rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", clock.Duration(duration))
		detector := outlier.NewAggregator(&clock.Manual{})
		observed := rollout.Observation{Elapsed: duration - 500*time.Millisecond, Finding: detector.Evaluate("s", 1, 0), ReadyCapacity: 100, OldCapacity: 100}
		event, reason := state.Next(observed)
		Expect(event).To(Equal(rollout.TimedOut))
		Expect(reason).To(ContainSubstring("too few requests on trial"))
	})

	It("rejects every event that its phase does not allow", func() {
		state, _ := rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", clock.Duration(duration))
		for _, event := range []rollout.Event{rollout.Shifted, rollout.Drained, rollout.Started} {
			_, ok := state.Apply(event, "", 0)
			Expect(ok).To(BeFalse())
		}
		ended, _ := state.Apply(rollout.Failed, "", 0)
		for _, event := range []rollout.Event{rollout.Passed, rollout.Shifted, rollout.Drained, rollout.Failed, rollout.TimedOut} {
			_, ok := ended.Apply(event, "", 0)
			Expect(ok).To(BeFalse())
		}
		Expect(ended.Status()).To(Equal("reverted"))
	})

	It("recognizes a repeated command for a while, and starts another rollout only after the end", func() {
		state, _ := rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", clock.Duration(duration))
		Expect(state.IsRepeat("v2", clock.Duration(duration), time.Second, bounds)).To(BeTrue())
		Expect(state.IsRepeat("v3", clock.Duration(duration), time.Second, bounds)).To(BeFalse())
		_, ok := state.Start("v3", clock.Duration(duration))
		Expect(ok).To(BeFalse())
		ended, _ := state.Apply(rollout.TimedOut, "", duration)
		Expect(ended.IsRepeat("v2", clock.Duration(duration), time.Minute, bounds)).To(BeFalse())
		next, ok := ended.Start("v2", clock.Duration(duration))
		Expect(ok).To(BeTrue())
		Expect(next.Number).To(BeEquivalentTo(2))
	})
})

func failsAfter(elapsed, start time.Duration) float64 {
	if elapsed > start {
		return 0.5
	}
	return 0.004
}
