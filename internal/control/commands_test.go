package control

import (
	"context"
	"testing"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/settings"
)

// newTestCoordinator returns the coordinator of a leader that stores the state of a rollout.
func newTestCoordinator(state rollout.State) (*coordinator, *clock.Manual) {
	manualClock := &clock.Manual{Now: time.Hour}
	n := &node{self: "self", clock: manualClock, log: func(string, string, ...any) {}}
	set := &settings.Settings{}
	set.Platform.Bounds.Ack = clock.Duration(10 * time.Second)
	n.settings.Store(set)
	n.coordinator = newCoordinator(n)
	n.coordinator.states[state.Subject] = state
	n.rolloutStarts.Store(state.Subject, rolloutStart{state.Number, manualClock.Monotonic()})
	return n.coordinator, manualClock
}

func TestRepeatedStartCommandStartsNoSecondRollout(t *testing.T) {
	duration := clock.Duration(9 * time.Second)
	c, manualClock := newTestCoordinator(rollout.State{Subject: "s", Number: 1, TargetVersion: "v2", Duration: duration, Phase: rollout.Reverted})
	for range 5 {
		manualClock.Sleep(15 * time.Second)
		kind, detail := c.startRollout(messages.StartRollout{Service: "s", Target: "v2", Duration: int64(duration)})
		if kind != apierror.None || c.states["s"].Number != 1 {
			t.Fatalf("got %v %q, number %d", kind, detail, c.states["s"].Number)
		}
	}
	manualClock.Sleep(20 * time.Second)
	if state := c.states["s"]; state.IsRepeat("v2", duration, c.sinceCommand(state), c.rolloutPlan()) {
		t.Fatal("a command received twice the acknowledgement time after the last one counts as a repetition")
	}
}

func TestRepeatedStagedStartAndHaltAreAccepted(t *testing.T) {
	items := []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: 2}}
	subject := rollout.StagedPrefix + "change"
	c, manualClock := newTestCoordinator(rollout.State{Subject: subject, Number: 1, Items: items, Phase: rollout.Reverted, Reason: haltedByOperator})
	for range 3 {
		manualClock.Sleep(15 * time.Second)
		if kind, detail := c.startStagedChange(messages.StagedChange{Name: "change", Items: items}); kind != apierror.None {
			t.Fatalf("start: got %v %q", kind, detail)
		}
		if kind, detail := c.haltStagedChange(messages.StagedChange{Name: "change", Halt: true}); kind != apierror.None {
			t.Fatalf("halt: got %v %q", kind, detail)
		}
	}
}

// Guards against a halt that is acknowledged, and told as reverted, although the configuration has the change.
func TestStagedChangeIsNotHaltedOnceItsCommitHasBegun(t *testing.T) {
	items := []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "l"}, Version: 2}}
	subject := rollout.StagedPrefix + "change"
	for _, phase := range []rollout.Phase{rollout.Shifting, rollout.Draining, rollout.Complete} {
		c, _ := newTestCoordinator(rollout.State{Subject: subject, Number: 1, Items: items, Phase: phase})
		kind, detail := c.haltStagedChange(messages.StagedChange{Name: "change", Halt: true})
		if kind != apierror.OrderInProgress || detail == "" || c.states[subject].Phase != phase {
			t.Errorf("phase %s: got %v %q, phase %s", phase, kind, detail, c.states[subject].Phase)
		}
	}
}

func TestCommandThatWaitedLongerThanItsCallerHasNoEffect(t *testing.T) {
	for wait, late := range map[time.Duration]bool{commandTimeout - time.Millisecond: false, commandTimeout: true} {
		c, manualClock := newTestCoordinator(rollout.State{Subject: "s"})
		c.isLeader.Store(true)
		results := make(chan messages.OrderResponse, 1)
		executed := false
		c.runCommand(nil, func(result messages.OrderResponse) { results <- result }, func(*coordinator) (apierror.Kind, string) {
			executed = true
			return apierror.None, ""
		})
		manualClock.Sleep(wait)
		ctx, stop := context.WithCancel(context.Background())
		go c.loop.Run(ctx, runAll, 0, nil)
		result := <-results
		stop()
		refused := result.Detail == "the command waited too long"
		if refused != late || late && (executed || result.Kind != apierror.ControlPlaneUnavailable) {
			t.Fatalf("after %v: got %+v, executed: %v", wait, result, executed)
		}
	}
}
