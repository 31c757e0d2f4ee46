package proxy

import (
	"slices"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

// applyFleet updates the snapshot to a new state of the fleet, received at now.
func (s *snapshot) applyFleet(fleet feed.Fleet, now clock.Instant) {
	switch {
	case slices.Equal(s.servers, fleet.Servers):
	case feed.EqualIgnoringHealth(s.servers, fleet.Servers):
		s.balancer.UpdateHealth(fleet)
	default:
		s.balancer = s.balancer.WithFleet(fleet)
	}
	s.servers = fleet.Servers
	s.proxyCount, s.canaryShares, s.leader = fleet.Proxies, fleet.Shares, fleet.Leader
	s.fleetVersion, s.fleetReceivedAt = fleet.Version(), now
	s.cutoffs, s.mirrorGrants = fleet.Cutoffs, fleet.Mirrors
}
