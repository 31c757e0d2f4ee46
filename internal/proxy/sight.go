package proxy

import (
	"slices"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

// take is the sight after a new reading of the fleet.
func (s *sight) take(fleet feed.Fleet, now timetable.Steady) {
	switch {
	case slices.Equal(s.servers, fleet.Servers):
	case feed.IsKeptAs(s.servers, fleet.Servers):
		s.yard.Hear(fleet)
	default:
		s.yard = s.yard.Lay(fleet)
	}
	s.servers = fleet.Servers
	s.proxies, s.shares, s.holder = fleet.Proxies, fleet.Shares, fleet.Holder
	s.reading, s.heard = fleet.Reading(), now
	s.cutoffs, s.mirrors = fleet.Cutoffs, fleet.Mirrors
}
