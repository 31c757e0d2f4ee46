package control

import (
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/timetable"
)

// runCommand runs an operator's command in the coordinator's loop and replies with the
// result. A command that waited longer than its caller does has no effect: the operator
// was told that it failed and may have sent another since.
func (n *node) runCommand(reply func(messages.Ordered), run func(c *coordinator) (apierror.Kind, string)) {
	c, receivedAt := n.coordinator, n.clock.Steady()
	enqueued := c.loop.Offer(func() {
		kind, detail := apierror.Gone, "this node is not the leader"
		switch {
		case time.Duration(c.clock.Steady()-receivedAt) >= commandTimeout:
			detail = "the command waited too long"
		case c.ensureLeading():
			kind, detail = run(c)
		}
		reply(messages.Ordered{Kind: kind, Detail: detail})
	})
	if !enqueued {
		reply(messages.Ordered{Kind: apierror.Gone})
	}
}

func (n *node) onStartRollout(in messages.Order, reply func(messages.Ordered)) {
	n.runCommand(reply, func(c *coordinator) (apierror.Kind, string) { return c.startRollout(in) })
}

// startRollout handles an operator's command to roll out a version of a service.
func (c *coordinator) startRollout(in messages.Order) (kind apierror.Kind, detail string) {
	state, known := c.states[in.Service]
	if !known {
		serviceExists := false
		c.store.read(func(t *tables) {
			item, found := t.configuration()[config.ID{Class: config.ServiceItem, Name: in.Service}]
			serviceExists = found && !item.Dropped
		})
		if !serviceExists {
			return apierror.UnknownSubject, in.Service
		}
		state.Subject = in.Service
	}
	switch {
	case state.IsRepeat(in.Target, timetable.Span(in.Duration), c.sinceCommand(state), c.rolloutPlan()):
		c.recordRepeat(state)
		return apierror.None, ""
	case state.Phase.IsActive():
		return apierror.OtherOrder, "the rollout of version " + state.TargetVersion + " is in progress"
	}
	next, permitted := state.Start(in.Target, timetable.Span(in.Duration))
	if !permitted {
		return apierror.OtherOrder, ""
	}
	if in.Target == state.CurrentVersion {
		next.Phase, next.Reason = rollout.Complete, "the version is in force"
	}
	c.detector.Forget(in.Service, next.Number)
	if err := c.commitState(next); err != nil {
		return apierror.Gone, ""
	}
	c.log("warn", "rollout started", "subject", in.Service, "phase", next.Phase, "target", in.Target)
	c.publish()
	return apierror.None, ""
}

func (c *coordinator) rolloutPlan() rollout.Bounds {
	bounds := c.settings.Load().Platform.Bounds
	return rollout.Bounds{CanaryShare: bounds.CanaryShare, CommandTimeout: bounds.Ack.Std()}
}

// repeatedCommand is the time of the last repetition of an accepted command.
type repeatedCommand struct {
	number uint64
	at     timetable.Steady
}

// sinceCommand returns the time since the command of a rollout was last received. An
// operator whose acknowledgements are lost repeats it, even after the rollout has ended.
func (c *coordinator) sinceCommand(state rollout.State) time.Duration {
	last := c.rolloutStartedAt(state)
	if repeated := c.repeatedCommands[state.Subject]; repeated.number == state.Number {
		last = max(last, repeated.at)
	}
	return time.Duration(c.clock.Steady() - last)
}

func (c *coordinator) recordRepeat(state rollout.State) {
	c.repeatedCommands[state.Subject] = repeatedCommand{state.Number, c.clock.Steady()}
}
