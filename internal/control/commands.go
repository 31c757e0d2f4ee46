package control

import (
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rollout"
)

// runCommand runs an operator's command in the coordinator's loop and replies with the
// result. A command that waited longer than its caller does has no effect: the operator
// has been sent an error and may have sent another command since. The same holds for one
// whose base is no longer the state of the leader; without a base, which builds that
// don't send one leave out, only the age counts.
func (n *node) runCommand(base *messages.CommandBase, reply func(messages.OrderResponse), run func(c *coordinator) (apierror.Kind, string)) {
	c, receivedAt := n.coordinator, n.clock.Monotonic()
	enqueued := c.loop.Offer(func() { reply(c.responseTo(base, receivedAt, run)) })
	if !enqueued {
		reply(messages.OrderResponse{Kind: apierror.ControlPlaneUnavailable})
	}
}

// responseTo runs a command if it is permitted and returns the response.
func (c *coordinator) responseTo(base *messages.CommandBase, receivedAt clock.Instant, run func(c *coordinator) (apierror.Kind, string)) messages.OrderResponse {
	response := messages.OrderResponse{Kind: apierror.ControlPlaneUnavailable}
	switch {
	case time.Duration(c.clock.Monotonic()-receivedAt) >= commandTimeout:
		response.Detail = "the command waited too long"
	case !c.ensureLeading():
		response.Detail = "this node is not the leader"
	case base != nil && *base != c.commandBase():
		response.Detail = "the command may have been rejected before"
		response.IsStale, response.CommandBase = true, new(c.commandBase())
	default:
		response.Kind, response.Detail = run(c)
		c.countRejection(response.Kind)
	}
	return response
}

// commandBase returns the present base of commands.
func (c *coordinator) commandBase() messages.CommandBase {
	return messages.CommandBase{Term: c.term, Rejections: c.rejections}
}

// countRejection counts the result of a command if it tells the operator that the command
// is rejected. Commands that other nodes forwarded before that have no effect any more.
func (c *coordinator) countRejection(kind apierror.Kind) {
	if kind != apierror.None && kind != apierror.ControlPlaneUnavailable {
		c.rejections++
	}
}

func (n *node) onStartRollout(in messages.StartRollout, reply func(messages.OrderResponse)) {
	n.runCommand(in.Base, reply, func(c *coordinator) (apierror.Kind, string) { return c.startRollout(in) })
}

// startRollout handles an operator's command to roll out a version of a service.
func (c *coordinator) startRollout(in messages.StartRollout) (kind apierror.Kind, detail string) {
	state, known := c.states[in.Service]
	if !known {
		serviceExists := false
		c.store.read(func(t *tables) {
			item, found := t.configuration()[config.ID{Class: config.ServiceItem, Name: in.Service}]
			serviceExists = found && !item.Removed
		})
		if !serviceExists {
			return apierror.NotFound, in.Service
		}
		state.Subject = in.Service
	}
	switch {
	case state.IsRepeat(in.Target, clock.Duration(in.Duration), c.sinceCommand(state), c.rolloutPlan()):
		c.recordRepeat(state)
		return apierror.None, ""
	case state.Phase.IsActive():
		return apierror.OrderInProgress, "the rollout of version " + state.TargetVersion + " is in progress"
	}
	next, permitted := state.Start(in.Target, clock.Duration(in.Duration))
	if !permitted {
		return apierror.OrderInProgress, ""
	}
	if in.Target == state.CurrentVersion {
		next.Phase, next.Reason = rollout.Complete, "the version is in force"
	}
	c.detector.ForgetBefore(in.Service, next.Number)
	if err := c.commitState(next); err != nil {
		return apierror.ControlPlaneUnavailable, ""
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
	at     clock.Instant
}

// sinceCommand returns the time since the command of a rollout was last received. An
// operator whose acknowledgements are lost repeats it, even after the rollout has ended.
func (c *coordinator) sinceCommand(state rollout.State) time.Duration {
	last := c.rolloutStartedAt(state)
	if repeated := c.repeatedCommands[state.Subject]; repeated.number == state.Number {
		last = max(last, repeated.at)
	}
	return time.Duration(c.clock.Monotonic() - last)
}

func (c *coordinator) recordRepeat(state rollout.State) {
	c.repeatedCommands[state.Subject] = repeatedCommand{state.Number, c.clock.Monotonic()}
}
