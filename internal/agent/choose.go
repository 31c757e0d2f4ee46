package agent

import (
	"time"

	"ploverhitch/internal/membership"
)

const (
	// followedLeast is how many members are followed, if there are so many: what
	// one of them is late with, or cut off from, the others tell.
	followedLeast = 3
	// ailingSpan is after how long without its feed a chosen member gets a spare
	// beside it, and wellSpan how long all must tell before the spares go again.
	ailingSpan = 400 * time.Millisecond
	wellSpan   = 10 * time.Second
)

// wanted is whom to follow: as many members as make a majority, so that whatever
// a majority of the core decides is told by one of them at least, in an order of
// this node's own; one more for each that does not tell; and the seeds while no
// view is known or most of the chosen are silent.
func (d *desk) wanted() map[string]bool {
	view, now := d.view(), d.clock.Steady()
	if view.Epoch != d.spareFor {
		d.spareFor, d.spares, d.wellAt = view.Epoch, 0, now
	}
	order := membership.FollowOrder(view.Members, d.set.Platform.NodeName)
	chosen := min(len(order), max(followedLeast, view.Majority()))
	ailing := 0
	for _, member := range order[:chosen] {
		if follower := d.followers[member]; follower != nil && follower.Broken() > ailingSpan {
			ailing++
		}
	}
	switch {
	case ailing > 0:
		d.spares, d.wellAt = max(d.spares, ailing), now
	case time.Duration(now-d.wellAt) > wellSpan:
		d.spares = 0
	}
	wanted := map[string]bool{}
	for _, member := range order[:min(len(order), chosen+d.spares)] {
		wanted[member] = true
	}
	if view.Epoch == 0 || 2*ailing > chosen {
		for _, seed := range d.set.Platform.SeedNodes {
			wanted[d.set.InternalAddress(seed, 0)] = true
		}
	}
	return wanted
}
