package control

import (
	"context"
	"testing"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
)

// newTestCoordinator returns the coordinator of a leader that stores the state of a rollout.
func newTestCoordinator(state rollout.State) (*coordinator, *timetable.Hand) {
	clock := &timetable.Hand{Now: time.Hour}
	n := &node{self: "self", clock: clock, log: func(string, string, ...any) {}}
	set := &settings.Settings{}
	set.Platform.Bounds.Ack = timetable.Span(10 * time.Second)
	n.settings.Store(set)
	n.coordinator = newCoordinator(n)
	n.coordinator.states[state.Subject] = state
	n.rolloutStarts.Store(state.Subject, rolloutStart{state.Number, clock.Steady()})
	return n.coordinator, clock
}

func TestRepeatedStartCommandStartsNoSecondRollout(t *testing.T) {
	duration := timetable.Span(9 * time.Second)
	c, clock := newTestCoordinator(rollout.State{Subject: "s", Number: 1, TargetVersion: "v2", Duration: duration, Phase: rollout.Reverted})
	for range 5 {
		clock.Now += 15 * time.Second
		kind, detail := c.startRollout(messages.Order{Service: "s", Target: "v2", Duration: int64(duration)})
		if kind != apierror.None || c.states["s"].Number != 1 {
			t.Fatalf("got %v %q, number %d", kind, detail, c.states["s"].Number)
		}
	}
	clock.Now += 20 * time.Second
	if state := c.states["s"]; state.IsRepeat("v2", duration, c.sinceCommand(state), c.rolloutPlan()) {
		t.Fatal("a command received twice the acknowledgement time after the last one counts as a repetition")
	}
}

func TestRepeatedStagedStartAndHaltAreAccepted(t *testing.T) {
	items := []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: 2}}
	subject := rollout.StagedPrefix + "change"
	c, clock := newTestCoordinator(rollout.State{Subject: subject, Number: 1, Items: items, Phase: rollout.Reverted, Reason: haltedByOperator})
	for range 3 {
		clock.Now += 15 * time.Second
		if kind, detail := c.startStagedChange(messages.StageOrder{Name: "change", Items: items}); kind != apierror.None {
			t.Fatalf("start: got %v %q", kind, detail)
		}
		if kind, detail := c.haltStagedChange(messages.StageOrder{Name: "change", IsHalt: true}); kind != apierror.None {
			t.Fatalf("halt: got %v %q", kind, detail)
		}
	}
}

func TestCommandThatWaitedLongerThanItsCallerHasNoEffect(t *testing.T) {
	for wait, late := range map[time.Duration]bool{commandTimeout - time.Millisecond: false, commandTimeout: true} {
		c, clock := newTestCoordinator(rollout.State{Subject: "s"})
		c.isLeader.Store(true)
		results := make(chan messages.Ordered, 1)
		executed := false
		c.runCommand(func(result messages.Ordered) { results <- result }, func(*coordinator) (apierror.Kind, string) {
			executed = true
			return apierror.None, ""
		})
		clock.Now += wait
		ctx, stop := context.WithCancel(context.Background())
		go c.loop.Run(ctx, runAll, 0, nil)
		result := <-results
		stop()
		refused := result.Detail == "the command waited too long"
		if refused != late || late && (executed || result.Kind != apierror.Gone) {
			t.Fatalf("after %v: got %+v, executed: %v", wait, result, executed)
		}
	}
}
