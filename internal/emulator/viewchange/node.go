package viewchange

import (
	"fmt"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/membership"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	silenceTimeout    = 1200 * time.Millisecond
	replaceAfter      = 2500 * time.Millisecond
	// discoverySteps is how long a node outside of the view takes to find a newer one.
	discoverySteps Step = 2
	// rebuildSteps is how long a rebuild waits and reads.
	rebuildSteps Step = 10
)

// node is one control node.
type node struct {
	name  string
	view  membership.View
	watch *membership.LivenessWatch
	// isGone: removed for good. downUntil and cutUntil are when it runs or is connected again.
	isGone              bool
	downUntil, cutUntil Step
	isTrusted           bool
	// holdsVote: it holds the vote that a majority gave before the first event.
	holdsVote bool
	// rebuiltAt is when its rebuild may be complete.
	rebuiltAt Step
	// newerSince is when it could first have found a newer view, -1 if there is none.
	newerSince Step
}

func newNode(place int, view membership.View, timeSource clock.Clock) *node {
	return &node{name: nameOf(place), view: view, watch: membership.NewLivenessWatch(timeSource, silenceTimeout), newerSince: -1}
}

func nameOf(place int) string { return fmt.Sprintf("node-%02d", place) }

func (n *node) isUp(now Step) bool { return !n.isGone && now >= n.downUntil }

// reaches reports whether two nodes run and are connected with each other.
func (n *node) reaches(other *node, now Step) bool {
	if !n.isUp(now) || !other.isUp(now) {
		return false
	}
	return n == other || now >= n.cutUntil && now >= other.cutUntil
}

// adopt takes over a newer view. A node outside of it no longer trusts its state.
func (n *node) adopt(view membership.View, now Step) {
	if view.Epoch <= n.view.Epoch {
		return
	}
	n.view, n.newerSince = view, -1
	if !view.Contains(n.name) {
		n.isTrusted = false
	}
	if !n.isTrusted {
		n.rebuiltAt = now + rebuildSteps
	}
}

// discover takes over the view of another node after discoverySteps.
func (n *node) discover(view membership.View, now Step) {
	switch {
	case view.Epoch <= n.view.Epoch:
	case n.newerSince < 0:
		n.newerSince = now
	case now-n.newerSince >= discoverySteps:
		n.adopt(view, now)
	}
}

// wipe takes the disk and stops the node for a while.
func (n *node) wipe(until Step) {
	n.isTrusted, n.holdsVote = false, false
	n.downUntil = until
	n.rebuiltAt = until + rebuildSteps
}
