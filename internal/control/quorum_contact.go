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
	maxContactAge = time.Second
	// catchUpSpan is how long a reading waits for news that other members have.
	newestFleetTimeout       = 200 * time.Millisecond
	newestFleetCheckInterval = 10 * time.Millisecond
	// touchesPerBeat is how often in a heartbeat it is looked whether a contact is due.
	contactChecksPerHeartbeat = 3
)

// contact is when this node last reached a majority of its view, and the newest
// fleet that was held there then: what only a lost member held is waited for no more.
// The time counts from the sending of what the members answered.
type quorumContact struct {
	lock   sync.Mutex
	known  bool
	sentAt timetable.Steady
	fleet  feed.Reading
}

func (c *quorumContact) record(sentAt timetable.Steady, fleet feed.Reading) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.known || sentAt > c.sentAt {
		c.known, c.sentAt, c.fleet = true, sentAt, fleet
	}
}

// age is how long ago the last contact was; ok is false before the first.
func (c *quorumContact) age(now timetable.Steady) (age time.Duration, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return time.Duration(now - c.sentAt), c.known
}

// isBehind tells whether a majority held a newer fleet than this one.
func (c *quorumContact) isBehind(held feed.Reading) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.fleet.Outranks(held)
}

func (n *node) hasQuorumContact() bool {
	age, ok := n.contact.age(n.clock.Steady())
	return ok && age <= maxContactAge
}

// isReadyForDuty tells whether this node may hold the duty: it is in contact, and has
// the fleet that a majority had, with the grants that the next holder goes on from.
func (n *node) isReadyToLead(held feed.Reading) bool {
	if n.holdsLease(n.myTerm.Load()) {
		return true
	}
	return n.hasQuorumContact() && !n.contact.isBehind(held)
}

// touch asks the members of the view whether they count in its epoch, unless a
// majority did within the last heartbeat.
func (n *node) refreshQuorumContact() {
	if age, ok := n.contact.age(n.clock.Steady()); ok && age < n.set.Load().Tuning.Beat.Std() {
		return
	}
	view, sentAt, count := n.view(), n.clock.Steady(), 0
	var newest feed.Reading
	askAll(n, view.Members, messages.KindContact, messages.Contact{Epoch: view.Epoch}, askSpan, func(_ string, answer messages.ContactTold) bool {
		if !answer.OK {
			return false
		}
		if count++; answer.Fleet.Outranks(newest) {
			newest = answer.Fleet
		}
		return count >= view.Majority()
	})
	if count == 0 || count < view.Majority() {
		return
	}
	hadContact := n.hasQuorumContact()
	n.contact.record(sentAt, newest)
	if !hadContact {
		// The others may count on this node again.
		n.memberLoop.Offer(n.heartbeat)
	}
}

func (n *node) onContact(in messages.Contact, answer func(messages.ContactTold)) {
	var out messages.ContactTold
	n.store.put(func(t *tables) []record {
		out.OK, out.Fleet = n.isServing(t, in.Epoch), t.fleet.Reading()
		return nil
	}, func() { answer(out) })
}

// inContact makes a call that answers from this node's own state fail unless the
// node reached a majority of its view within the bound, and has the fleet that was
// known there.
func (n *node) requireQuorumContact(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if !n.hasQuorumContact() {
			n.refreshQuorumContact()
		}
		if !n.hasQuorumContact() || !n.waitForNewestFleet() {
			return nil, apierror.New(apierror.Gone, "reading this node's state")
		}
		return next(ctx, request)
	}
}

// hasNewest waits until this node has the fleet that a majority had, and tells
// whether it has.
func (n *node) waitForNewestFleet() bool {
	started := n.clock.Steady()
	for {
		var held feed.Reading
		n.store.read(func(t *tables) { held = t.fleet.Reading() })
		if !n.contact.isBehind(held) {
			return true
		}
		if time.Duration(n.clock.Steady()-started) >= newestFleetTimeout {
			return false
		}
		n.clock.Sleep(newestFleetCheckInterval)
	}
}
