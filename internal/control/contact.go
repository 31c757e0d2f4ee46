package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/apierror"
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
// fleet that was held there then: what only a lost member held is waited for no more.
// The time counts from the sending of what the members answered.
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

func (n *node) isInContact() bool {
	age, ok := n.contact.age(n.clock.Steady())
	return ok && age <= contactSpan
}

// isReadyForDuty tells whether this node may hold the duty: it is in contact, and has
// the fleet that a majority had, with the grants that the next holder goes on from.
func (n *node) isReadyForDuty(held feed.Reading) bool {
	if n.holdsLease(n.ownTerm.Load()) {
		return true
	}
	return n.isInContact() && !n.contact.isBehind(held)
}

// touch asks the members of the view whether they count in its epoch, unless a
// majority did within the last heartbeat.
func (n *node) touch() {
	if age, ok := n.contact.age(n.clock.Steady()); ok && age < n.settings.Load().Tuning.Beat.Std() {
		return
	}
	view, sent, count := n.view(), n.clock.Steady(), 0
	var newest feed.Reading
	callAll(n, view.Members, messages.KindContact, messages.Contact{Epoch: view.Epoch}, callTimeout, func(_ string, told messages.ContactTold) bool {
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
	wasInContact := n.isInContact()
	n.contact.note(sent, newest)
	if !wasInContact {
		// The others may count on this node again.
		n.memberLoop.Offer(n.beat)
	}
}

func (n *node) onContact(in messages.Contact, answer func(messages.ContactTold)) {
	var told messages.ContactTold
	n.store.enqueue(func(t *tables) []record {
		told.OK, told.Fleet = n.canVote(t, in.Epoch), t.fleet.Reading()
		return nil
	}, func() { answer(told) })
}

// inContact makes a call that answers from this node's own state fail unless the
// node reached a majority of its view within the bound, and has the fleet that was
// known there.
func (n *node) inContact(point endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if !n.isInContact() {
			n.touch()
		}
		if !n.isInContact() || !n.hasNewest() {
			return nil, apierror.New(apierror.Gone, "reading this node's state")
		}
		return point(ctx, request)
	}
}

// hasNewest waits until this node has the fleet that a majority had, and tells
// whether it has.
func (n *node) hasNewest() bool {
	began := n.clock.Steady()
	for {
		var held feed.Reading
		n.store.read(func(t *tables) { held = t.fleet.Reading() })
		if !n.contact.isBehind(held) {
			return true
		}
		if time.Duration(n.clock.Steady()-began) >= catchUpSpan {
			return false
		}
		n.clock.Sleep(catchUpPause)
	}
}
