package agent

import (
	"time"

	"ploverhitch/internal/membership"
)

const (
	// followedLeast is how many members are followed, if there are so many: what
	// one of them is late with, or cut off from, the others tell.
	minFollowed = 3
	// ailingSpan is after how long without its feed a chosen member gets a spare
	// beside it, and wellSpan how long all must tell before the spares go again.
	spareAfter     = 400 * time.Millisecond
	spareRetention = 10 * time.Second
)

// wanted is whom to follow: as many members as make a majority, so that whatever
// a majority of the core decides is told by one of them at least, in an order of
// this node's own; one more for each that does not tell; and the seeds while no
// view is known or most of the chosen are silent.
func (a *agent) membersToFollow() map[string]bool {
	view, now := a.view(), a.clock.Steady()
	if view.Epoch != a.spareEpoch {
		a.spareEpoch, a.spares, a.healthySince = view.Epoch, 0, now
	}
	order := membership.FollowOrder(view.Members, a.settings.Platform.NodeName)
	chosen := min(len(order), max(minFollowed, view.Majority()))
	failing := 0
	for _, member := range order[:chosen] {
		if follower := a.followers[member]; follower != nil && follower.Broken() > spareAfter {
			failing++
		}
	}
	switch {
	case failing > 0:
		a.spares, a.healthySince = max(a.spares, failing), now
	case time.Duration(now-a.healthySince) > spareRetention:
		a.spares = 0
	}
	wanted := map[string]bool{}
	for _, member := range order[:min(len(order), chosen+a.spares)] {
		wanted[member] = true
	}
	if view.Epoch == 0 || 2*failing > chosen {
		for _, seed := range a.settings.Platform.SeedNodes {
			wanted[a.settings.InternalAddress(seed, 0)] = true
		}
	}
	return wanted
}
