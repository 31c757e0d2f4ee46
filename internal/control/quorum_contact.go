package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

const (
	// maxContactAge is the age of the last quorum contact up to which a node answers
	// from its local state.
	maxContactAge = time.Second
	// newestFleetTimeout is how long a read waits for a fleet that a majority has.
	newestFleetTimeout       = 200 * time.Millisecond
	newestFleetCheckInterval = 10 * time.Millisecond
	// contactChecksPerHeartbeat is how often per heartbeat interval a node checks whether
	// a new quorum contact is due.
	contactChecksPerHeartbeat = 3
)

// quorumContact is the last time that this node reached a majority of its view, and the
// newest fleet that the majority had then. A fleet that only a failed member had is not
// waited for. The time is that at which the answered requests were sent.
type quorumContact struct {
	lock   sync.Mutex
	known  bool
	sentAt clock.Instant
	fleet  feed.FleetVersion
}

func (c *quorumContact) record(sentAt clock.Instant, fleet feed.FleetVersion) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.known || sentAt > c.sentAt {
		c.known, c.sentAt, c.fleet = true, sentAt, fleet
	}
}

// age is the time since the last contact; ok is false before the first.
func (c *quorumContact) age(now clock.Instant) (age time.Duration, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return time.Duration(now - c.sentAt), c.known
}

// isBehind reports whether a majority had a newer fleet than the given one.
func (c *quorumContact) isBehind(held feed.FleetVersion) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.fleet.NewerThan(held)
}

func (n *node) hasQuorumContact() bool {
	age, ok := n.contact.age(n.clock.Monotonic())
	return ok && age <= maxContactAge
}

// isReadyToLead reports whether this node may become or stay the leader: it holds the lease,
// or has quorum contact and the newest fleet of a majority, with the grants that the next
// leader continues from.
func (n *node) isReadyToLead(held feed.FleetVersion) bool {
	if n.holdsLease(n.ownTerm.Load()) {
		return true
	}
	return n.hasQuorumContact() && !n.contact.isBehind(held)
}

// refreshQuorumContact asks the members of the view whether they serve in its epoch, unless
// a majority confirmed that within the last heartbeat interval.
func (n *node) refreshQuorumContact() {
	if age, ok := n.contact.age(n.clock.Monotonic()); ok && age < n.settings.Load().Tuning.HeartbeatInterval.Std() {
		return
	}
	view, sentAt, count := n.view(), n.clock.Monotonic(), 0
	var newest feed.FleetVersion
	callAll(n, view.Members, messages.KindContact, messages.Contact{Epoch: view.Epoch}, callTimeout, func(_ string, response messages.ContactResponse) bool {
		if !response.OK {
			return false
		}
		if count++; response.Fleet.NewerThan(newest) {
			newest = response.Fleet
		}
		return count >= view.Majority()
	})
	if count == 0 || count < view.Majority() {
		return
	}
	hadContact := n.hasQuorumContact()
	n.contact.record(sentAt, newest)
	if !hadContact {
		// This node may be eligible again; announce that without delay.
		n.memberLoop.Offer(n.heartbeat)
	}
}

// onContact answers whether this node serves in the epoch, and which fleet it has.
func (n *node) onContact(in messages.Contact, reply func(messages.ContactResponse)) {
	var out messages.ContactResponse
	n.store.enqueue(func(t *tables) []record {
		out.OK, out.Fleet = n.canVote(t, in.Epoch), t.fleet.Version()
		return nil
	}, func() { reply(out) })
}

// requireQuorumContact makes a call that answers from local state fail unless this node
// reached a majority of its view within maxContactAge and has the newest fleet known there.
func (n *node) requireQuorumContact(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if !n.hasQuorumContact() {
			n.refreshQuorumContact()
		}
		if !n.hasQuorumContact() || !n.waitForNewestFleet() {
			return nil, apierror.New(apierror.ControlPlaneUnavailable, "reading the local state of this node")
		}
		return next(ctx, request)
	}
}

// waitForNewestFleet waits until this node has the newest fleet known to a majority, and
// returns false at the timeout.
func (n *node) waitForNewestFleet() bool {
	started := n.clock.Monotonic()
	for {
		var held feed.FleetVersion
		n.store.read(func(t *tables) { held = t.fleet.Version() })
		if !n.contact.isBehind(held) {
			return true
		}
		if time.Duration(n.clock.Monotonic()-started) >= newestFleetTimeout {
			return false
		}
		n.clock.Sleep(newestFleetCheckInterval)
	}
}
