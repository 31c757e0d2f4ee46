package agent

import (
	"time"

	"ploverhitch/internal/membership"
)

const (
	// minFollowed is the minimum number of followed members, if there are as many: when
	// one is slow or disconnected from the control plane, the others send its updates.
	minFollowed = 3
	// spareAfter is how long a preferred member's feed may be broken before a spare is
	// followed as well. Spares are dropped once all preferred members have been sending
	// for spareRetention.
	spareAfter     = 400 * time.Millisecond
	spareRetention = 10 * time.Second
)

// membersToFollow returns the addresses to follow: a majority of the members, so that
// at least one of them knows every decision of a majority, in this node's order of
// preference; one spare for each whose feed is broken; and the seed nodes while no view
// is known or most of the preferred members are silent.
func (a *agent) membersToFollow() map[string]bool {
	view, now := a.view(), a.clock.Monotonic()
	if view.Epoch != a.spareEpoch {
		a.spareEpoch, a.spares, a.healthySince = view.Epoch, 0, now
	}
	order := membership.FollowOrder(view.Members, a.settings.Platform.NodeName)
	chosen := min(len(order), max(minFollowed, view.Majority()))
	failing := 0
	for _, member := range order[:chosen] {
		if follower := a.followers[member]; follower != nil && follower.DisconnectedFor() > spareAfter {
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
