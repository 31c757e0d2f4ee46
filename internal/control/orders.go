package control

import (
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/derail"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// decide lets the holder's loop decide on an order, and answers what stands
// against it.
func (b *box) decide(answer func(messages.Ordered), decide func(c *conductor) (derail.Kind, string)) {
	c := b.conductor
	isTaken := c.loop.Offer(func() {
		kind, detail := derail.Gone, "the duty is not here"
		if c.isMaster() {
			kind, detail = decide(c)
		}
		answer(messages.Ordered{Kind: kind, Detail: detail})
	})
	if !isTaken {
		answer(messages.Ordered{Kind: derail.Gone})
	}
}

func (b *box) onOrder(in messages.Order, answer func(messages.Ordered)) {
	b.decide(answer, func(c *conductor) (derail.Kind, string) { return c.rollOut(in) })
}

// rollOut takes an order for a service's version.
func (c *conductor) rollOut(in messages.Order) (kind derail.Kind, detail string) {
	state, isKnown := c.states[in.Service]
	if !isKnown {
		isService := false
		c.keeper.read(func(t *tables) {
			item, isThere := t.book()[config.ID{Class: config.ServiceItem, Name: in.Service}]
			isService = isThere && !item.Dropped
		})
		if !isService {
			return derail.UnknownSubject, in.Service
		}
		state.Subject = in.Service
	}
	since := time.Duration(c.clock.Steady() - c.beganAt(state))
	switch {
	case state.IsRepeat(in.Target, timetable.Span(in.Duration), since, c.plan()):
		return derail.None, ""
	case state.Phase.IsActive():
		return derail.OtherOrder, "version " + state.Target + " is on trial"
	}
	next, isDone := state.Order(in.Target, timetable.Span(in.Duration))
	if !isDone {
		return derail.OtherOrder, ""
	}
	if in.Target == state.InForce {
		next.Phase, next.Reason = trial.Complete, "the version is in force"
	}
	c.court.Forget(in.Service, next.Number)
	if err := c.write(next); err != nil {
		return derail.Gone, ""
	}
	c.note("warn", "trial", "subject", in.Service, "phase", next.Phase, "target", in.Target)
	c.publish()
	return derail.None, ""
}

func (c *conductor) plan() trial.Plan {
	bounds := c.set.Load().Platform.Bounds
	return trial.Plan{CanaryShare: bounds.CanaryShare, Ack: bounds.Ack.Std()}
}
