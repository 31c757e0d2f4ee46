package control

import (
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// decide lets the holder's loop decide on an order, and answers what stands
// against it. An order that waited longer than its caller does has no effect: the
// operator was told so, and may have sent another since.
func (n *node) decide(answer func(messages.OrderResponse), decide func(c *coordinator) (apierror.Kind, string)) {
	c, cameAt := n.coordinator, n.clock.Steady()
	isTaken := c.loop.Offer(func() {
		kind, detail := apierror.ControlPlaneUnavailable, "the duty is not here"
		switch {
		case time.Duration(c.clock.Steady()-cameAt) >= orderSpan:
			detail = "the order waited too long"
		case c.isMaster():
			kind, detail = decide(c)
		}
		answer(messages.OrderResponse{Kind: kind, Detail: detail})
	})
	if !isTaken {
		answer(messages.OrderResponse{Kind: apierror.ControlPlaneUnavailable})
	}
}

func (n *node) onOrder(in messages.StartRollout, answer func(messages.OrderResponse)) {
	n.decide(answer, func(c *coordinator) (apierror.Kind, string) { return c.rollOut(in) })
}

// rollOut takes an order for a service's version.
func (c *coordinator) rollOut(in messages.StartRollout) (kind apierror.Kind, detail string) {
	state, isKnown := c.states[in.Service]
	if !isKnown {
		isService := false
		c.store.read(func(t *tables) {
			item, isThere := t.book()[config.ID{Class: config.ServiceItem, Name: in.Service}]
			isService = isThere && !item.Dropped
		})
		if !isService {
			return apierror.NotFound, in.Service
		}
		state.Subject = in.Service
	}
	switch {
	case state.IsRepeat(in.Target, timetable.Span(in.Duration), c.sinceOrder(state), c.plan()):
		c.noteRepeat(state)
		return apierror.None, ""
	case state.Phase.IsActive():
		return apierror.OrderInProgress, "version " + state.Target + " is on trial"
	}
	next, isDone := state.Order(in.Target, timetable.Span(in.Duration))
	if !isDone {
		return apierror.OrderInProgress, ""
	}
	if in.Target == state.InForce {
		next.Phase, next.Reason = trial.Complete, "the version is in force"
	}
	c.court.Forget(in.Service, next.Number)
	if err := c.write(next); err != nil {
		return apierror.ControlPlaneUnavailable, ""
	}
	c.log("warn", "trial", "subject", in.Service, "phase", next.Phase, "target", in.Target)
	c.publish()
	return apierror.None, ""
}

func (c *coordinator) plan() trial.Plan {
	bounds := c.settings.Load().Platform.Bounds
	return trial.Plan{CanaryShare: bounds.CanaryShare, Ack: bounds.Ack.Std()}
}

// repeat is when an order that was taken last came again.
type repeat struct {
	number uint64
	at     timetable.Steady
}

// sinceOrder is how long ago the order of a trial came last. An operator whose
// acknowledgements are lost sends it on, also past the end of what it began.
func (c *coordinator) sinceOrder(state trial.State) time.Duration {
	last := c.beganAt(state)
	if known := c.repeats[state.Subject]; known.number == state.Number {
		last = max(last, known.at)
	}
	return time.Duration(c.clock.Steady() - last)
}

func (c *coordinator) noteRepeat(state trial.State) {
	c.repeats[state.Subject] = repeat{state.Number, c.clock.Steady()}
}
