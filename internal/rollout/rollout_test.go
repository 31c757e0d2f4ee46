package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/timetable"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

var plan = rollout.Bounds{CanaryShare: 0.1, CommandTimeout: 4 * time.Second}

// world is a slow plain model of a service under a trial: proxies that hear the
// share late or not at all, restart, and send single inquiries.
type world struct {
	hand   *timetable.Hand
	random *rand.Rand
	court  *outlier.Court
	state  rollout.State
	phase  time.Duration
	// bad tells the chance of a bad reply on trial, by elapsed time and lane.
	bad func(elapsed time.Duration, lane string, part float64) float64
	// deaf is the part of the proxies that hear nothing after a while.
	deaf float64

	boxes      []*outlier.Box
	lives      []int
	allowances []*balancer.Allowance
	heardPart  []float64
	heardAt    []time.Duration
	part       float64

	total, onTrial, badReplies int
	fiftieth                   time.Duration
	lastTrial                  time.Duration
}

const (
	proxies  = 20
	perTick  = 20 // inquiries of all proxies in 20 ms: 1000 a second
	tick     = 20 * time.Millisecond
	granted  = 1200 * time.Millisecond
	duration = 14 * time.Second
)

func newWorld(seed uint64) *world {
	w := &world{hand: &timetable.Hand{}, random: rand.New(rand.NewPCG(seed, 3))}
	w.court = outlier.NewCourt(w.hand)
	w.state, _ = rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", timetable.Span(duration))
	for range proxies {
		w.boxes, w.allowances = append(w.boxes, outlier.NewBox()), append(w.allowances, &balancer.Allowance{})
		w.lives, w.heardPart, w.heardAt = append(w.lives, 0), append(w.heardPart, 0), append(w.heardAt, -time.Hour)
	}
	w.bad = func(time.Duration, string, float64) float64 { return 0.004 }
	return w
}

func (w *world) send(proxy int) {
	w.total++
	lane := []string{"read", "read", "read", "read", "read", "read", "read", "read", "read", "rare"}[w.random.IntN(10)]
	now := w.hand.Now
	isTrial := now-w.heardAt[proxy] < granted && w.heardPart[proxy] > 0 &&
		w.allowances[proxy].Take(w.state.Number, w.heardPart[proxy], lane)
	outcome := outlier.Good
	chance := 0.004
	if isTrial {
		w.onTrial++
		w.lastTrial = now
		chance = w.bad(now, lane, w.heardPart[proxy])
	}
	if w.random.Float64() < chance {
		outcome = outlier.Failed
		if isTrial {
			if w.badReplies++; w.badReplies == 50 {
				w.fiftieth = now
			}
		}
	}
	w.boxes[proxy].Note(outlier.Mark{Subject: "s", Number: w.state.Number, Lane: lane, IsTrial: isTrial}, outcome)
}

func (w *world) facts(behind int) rollout.Observation {
	touch := outlier.Touch{Proxies: proxies, Behind: behind}
	return rollout.Observation{Elapsed: w.hand.Now, InPhase: w.hand.Now - w.phase, Finding: w.court.Hearing("s", w.state.Number, 0), ReadyCapacity: 100, OldCapacity: 100, ProxyProgress: touch}
}

// run plays until the term's end.
func (w *world) run() {
	for w.hand.Now < duration {
		for range perTick {
			w.send(w.random.IntN(proxies))
		}
		w.hand.Sleep(tick)
		if w.hand.Now%(100*time.Millisecond) != 0 {
			continue
		}
		for i := range proxies {
			isDeaf := float64(i) < w.deaf*proxies && w.hand.Now > 3*time.Second
			if !isDeaf && w.random.IntN(3) > 0 { // news that comes late, or not
				w.heardPart[i], w.heardAt[i] = w.part, w.hand.Now
			}
			if w.random.IntN(400) == 0 { // a restart forgets its counts
				w.boxes[i], w.allowances[i] = outlier.NewBox(), &balancer.Allowance{}
				w.lives[i]++
			}
			if w.random.IntN(2) == 0 {
				report := w.boxes[i].Report(fmt.Sprint(i), fmt.Sprint(w.lives[i]))
				w.court.Hear(report)
				if w.random.IntN(10) == 0 {
					w.court.Hear(report)
				}
			}
		}
		w.court.Tend()
		facts := w.facts(0)
		if event, reason := w.state.Next(facts); event != rollout.NoEvent {
			next, isDone := w.state.Apply(event, reason, w.hand.Now)
			Expect(isDone).To(BeTrue())
			w.state, w.phase = next, w.hand.Now
		}
		w.part = w.state.Share(plan, w.facts(0))
	}
}

var _ = Describe("a trial", func() {
	It("completes with a version that is fit, before its term", func() {
		for seed := range uint64(12) {
			w := newWorld(seed)
			w.run()
			Expect(w.state.Phase).To(Equal(rollout.Complete), "seed %d: %s", seed, w.state.Reason)
			Expect(w.state.CurrentVersion).To(Equal("v2"))
			Expect(w.state.Elapsed.Std()).To(BeNumerically("<", duration))
		}
	})

	DescribeTable("reverts a bad version, within its exposure and on time",
		func(bad func(elapsed time.Duration, lane string, part float64) float64) {
			for seed := range uint64(12) {
				w := newWorld(seed)
				w.bad, w.deaf = bad, 0.1
				w.run()
				Expect(w.state.Phase).To(Equal(rollout.Reverted), "seed %d", seed)
				Expect(w.state.CurrentVersion).To(Equal("v1"))
				Expect(float64(w.onTrial)).To(BeNumerically("<", 0.1*float64(w.total)+50), "seed %d", seed)
				if w.fiftieth > 0 {
					Expect(w.lastTrial - w.fiftieth).To(BeNumerically("<", 3*time.Second))
				}
			}
		},
		Entry("from the start", func(time.Duration, string, float64) float64 { return 0.5 }),
		Entry("late", func(elapsed time.Duration, _ string, _ float64) float64 { return after(elapsed, 3*time.Second) }),
		Entry("very late", func(elapsed time.Duration, _ string, _ float64) float64 { return after(elapsed, 8*time.Second) }),
		Entry("on one lane", func(_ time.Duration, lane string, _ float64) float64 {
			if lane == "rare" {
				return 0.5
			}
			return 0.004
		}),
		Entry("under load", func(_ time.Duration, _ string, part float64) float64 {
			if part > 0.3 {
				return 0.5
			}
			return 0.004
		}),
	)

	It("does not complete on no evidence, and says why", func() {
		state, _ := rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", timetable.Span(duration))
		court := outlier.NewCourt(&timetable.Hand{})
		facts := rollout.Observation{Elapsed: duration - 500*time.Millisecond, Finding: court.Hearing("s", 1, 0), ReadyCapacity: 100, OldCapacity: 100}
		event, reason := state.Next(facts)
		Expect(event).To(Equal(rollout.TimedOut))
		Expect(reason).To(ContainSubstring("too little is seen"))
	})

	It("goes on only from where it is: every event out of place is refused", func() {
		state, _ := rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", timetable.Span(duration))
		for _, event := range []rollout.Event{rollout.Shifted, rollout.Drained, rollout.Started} {
			_, isDone := state.Apply(event, "", 0)
			Expect(isDone).To(BeFalse())
		}
		ended, _ := state.Apply(rollout.Failed, "", 0)
		for _, event := range []rollout.Event{rollout.Passed, rollout.Shifted, rollout.Drained, rollout.Failed, rollout.TimedOut} {
			_, isDone := ended.Apply(event, "", 0)
			Expect(isDone).To(BeFalse())
		}
		Expect(ended.Status()).To(Equal("reverted"))
	})

	It("takes the last order once more for a while, and another one only after the end", func() {
		state, _ := rollout.State{Subject: "s", CurrentVersion: "v1"}.Start("v2", timetable.Span(duration))
		Expect(state.IsRepeat("v2", timetable.Span(duration), time.Second, plan)).To(BeTrue())
		Expect(state.IsRepeat("v3", timetable.Span(duration), time.Second, plan)).To(BeFalse())
		_, isDone := state.Start("v3", timetable.Span(duration))
		Expect(isDone).To(BeFalse())
		ended, _ := state.Apply(rollout.TimedOut, "", duration)
		Expect(ended.IsRepeat("v2", timetable.Span(duration), time.Minute, plan)).To(BeFalse())
		next, isDone := ended.Start("v2", timetable.Span(duration))
		Expect(isDone).To(BeTrue())
		Expect(next.Number).To(BeEquivalentTo(2))
	})
})

func after(elapsed, start time.Duration) float64 {
	if elapsed > start {
		return 0.5
	}
	return 0.004
}
