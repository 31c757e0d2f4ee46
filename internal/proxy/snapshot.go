package proxy

import (
	"slices"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

// applyFleet updates the snapshot to a new state of the fleet, received at now.
func (s *snapshot) applyFleet(fleet feed.Fleet, now timetable.Steady) {
	switch {
	case slices.Equal(s.servers, fleet.Servers):
	case feed.IsKeptAs(s.servers, fleet.Servers):
		s.balancer.UpdateHealth(fleet)
	default:
		s.balancer = s.balancer.WithFleet(fleet)
	}
	s.servers = fleet.Servers
	s.proxyCount, s.trialShares, s.holder = fleet.Proxies, fleet.Shares, fleet.Holder
	s.fleetVersion, s.fleetReceivedAt = fleet.Reading(), now
	s.cutoffs, s.mirrorGrants = fleet.Cutoffs, fleet.Mirrors
}
