package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/derail"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

const (
	// contactSpan is how old the last contact with a majority of the view may be for
	// a node to answer from what it holds itself.
	contactSpan = time.Second
	// catchUpSpan is how long a reading waits for news that other members have.
	catchUpSpan  = 200 * time.Millisecond
	catchUpPause = 10 * time.Millisecond
	// touchesPerBeat is how often in a heartbeat it is looked whether a contact is due.
	touchesPerBeat = 3
)

// contact is when this node last reached a majority of its view, and the newest
// fleet that was held there then: what only a lost member held is waited for no more. The time counts from the sending of what the members
// answered.
type contact struct {
	lock  sync.Mutex
	isHad bool
	at    timetable.Steady
	fleet feed.Reading
}

func (c *contact) note(sent timetable.Steady, fleet feed.Reading) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.isHad || sent > c.at {
		c.isHad, c.at, c.fleet = true, sent, fleet
	}
}

// age is how long ago the last contact was; ok is false before the first.
func (c *contact) age(now timetable.Steady) (age time.Duration, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return time.Duration(now - c.at), c.isHad
}

// isBehind tells whether a majority held a newer fleet than this one.
func (c *contact) isBehind(held feed.Reading) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.fleet.Outranks(held)
}

func (b *box) isInContact() bool {
	age, ok := b.contact.age(b.clock.Steady())
	return ok && age <= contactSpan
}

// isReadyForDuty tells whether this node may hold the duty: it is in contact, and has
// the fleet that a majority had, with the grants that the next holder goes on from.
func (b *box) isReadyForDuty(held feed.Reading) bool {
	if b.holdsLease(b.myTerm.Load()) {
		return true
	}
	return b.isInContact() && !b.contact.isBehind(held)
}

// touch asks the members of the view whether they count in its epoch, unless a
// majority did within the last heartbeat.
func (b *box) touch() {
	if age, ok := b.contact.age(b.clock.Steady()); ok && age < b.set.Load().Tuning.Beat.Std() {
		return
	}
	view, sent, count := b.view(), b.clock.Steady(), 0
	var newest feed.Reading
	askAll(b, view.Members, messages.KindContact, messages.Contact{Epoch: view.Epoch}, askSpan, func(_ string, told messages.ContactTold) bool {
		if !told.OK {
			return false
		}
		if count++; told.Fleet.Outranks(newest) {
			newest = told.Fleet
		}
		return count >= view.Majority()
	})
	if count == 0 || count < view.Majority() {
		return
	}
	wasInContact := b.isInContact()
	b.contact.note(sent, newest)
	if !wasInContact {
		// The others may count on this node again.
		b.roll.Offer(b.beat)
	}
}

func (b *box) onContact(in messages.Contact, answer func(messages.ContactTold)) {
	var told messages.ContactTold
	b.keeper.put(func(t *tables) []record {
		told.OK, told.Fleet = b.isServing(t, in.Epoch), t.fleet.Reading()
		return nil
	}, func() { answer(told) })
}

// inContact makes a call that answers from this node's own state fail unless the
// node reached a majority of its view within the bound, and has the fleet that was
// known there.
func (b *box) inContact(point endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if !b.isInContact() {
			b.touch()
		}
		if !b.isInContact() || !b.hasNewest() {
			return nil, derail.New(derail.Gone, "reading this node's state")
		}
		return point(ctx, request)
	}
}

// hasNewest waits until this node has the fleet that a majority had, and tells
// whether it has.
func (b *box) hasNewest() bool {
	began := b.clock.Steady()
	for {
		var held feed.Reading
		b.keeper.read(func(t *tables) { held = t.fleet.Reading() })
		if !b.contact.isBehind(held) {
			return true
		}
		if time.Duration(b.clock.Steady()-began) >= catchUpSpan {
			return false
		}
		b.clock.Sleep(catchUpPause)
	}
}
