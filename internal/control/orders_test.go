package control

import (
	"context"
	"testing"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// ordering is a holder that took an order long ago: the trial has ended.
func ordering(state trial.State) (*coordinator, *timetable.Hand) {
	hand := &timetable.Hand{Now: time.Hour}
	b := &node{self: "self", clock: hand, log: func(string, string, ...any) {}}
	set := &settings.Settings{}
	set.Platform.Bounds.Ack = timetable.Span(10 * time.Second)
	b.settings.Store(set)
	b.coordinator = newCoordinator(b)
	b.coordinator.states[state.Subject] = state
	b.trialStarts.Store(state.Subject, heardTrial{state.Number, hand.Steady()})
	return b.coordinator, hand
}

func TestOrderThatComesAgainAndAgainStartsNoSecondRollout(t *testing.T) {
	duration := timetable.Span(9 * time.Second)
	c, hand := ordering(trial.State{Subject: "s", Number: 1, Target: "v2", Duration: duration, Phase: trial.Reverted})
	for range 5 {
		hand.Now += 15 * time.Second
		kind, detail := c.rollOut(messages.StartRollout{Service: "s", Target: "v2", Duration: int64(duration)})
		if kind != apierror.None || c.states["s"].Number != 1 {
			t.Fatalf("got %v %q, number %d", kind, detail, c.states["s"].Number)
		}
	}
	hand.Now += 20 * time.Second
	if state := c.states["s"]; state.IsRepeat("v2", duration, c.sinceOrder(state), c.plan()) {
		t.Fatal("an order that rested for twice the span of acknowledgements is a new one")
	}
}

func TestStageAndHaltThatComeAgainAreTakenAgain(t *testing.T) {
	items := []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: 2}}
	subject := trial.StagePrefix + "change"
	c, hand := ordering(trial.State{Subject: subject, Number: 1, Items: items, Phase: trial.Reverted, Reason: haltedReason})
	for range 3 {
		hand.Now += 15 * time.Second
		if kind, detail := c.stage(messages.StagedChange{Name: "change", Items: items}); kind != apierror.None {
			t.Fatalf("stage: got %v %q", kind, detail)
		}
		if kind, detail := c.halt(messages.StagedChange{Name: "change", Halt: true}); kind != apierror.None {
			t.Fatalf("halt: got %v %q", kind, detail)
		}
	}
}

func TestOrderThatWaitedLongerThanItsCallerHasNoEffect(t *testing.T) {
	for wait, isLate := range map[time.Duration]bool{orderSpan - time.Millisecond: false, orderSpan: true} {
		c, hand := ordering(trial.State{Subject: "s"})
		c.isLeader.Store(true)
		answered := make(chan messages.OrderResponse, 1)
		isDecided := false
		c.decide(func(ordered messages.OrderResponse) { answered <- ordered }, func(*coordinator) (apierror.Kind, string) {
			isDecided = true
			return apierror.None, ""
		})
		hand.Now += wait
		ctx, stop := context.WithCancel(context.Background())
		go c.loop.Run(ctx, runAll, 0, nil)
		ordered := <-answered
		stop()
		isRefused := ordered.Detail == "the order waited too long"
		if isRefused != isLate || isLate && (isDecided || ordered.Kind != apierror.ControlPlaneUnavailable) {
			t.Fatalf("after %v: got %+v, decided: %v", wait, ordered, isDecided)
		}
	}
}
