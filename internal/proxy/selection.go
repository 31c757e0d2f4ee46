package proxy

import (
	"math/rand/v2"
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/settings"
)

// lesserPart is how much of the room at another site inquiries may fill that are
// not of the service's highest rank: those are turned away last.
const (
	lowPriorityShare = 0.7
	// probeOne: of so many choices that meet a failing server of a fallen site,
	// one may try it.
	probeInterval = 40
)

func (d *delivery) chooseServer() *balancer.Siding {
	s := d.sight.Load()
	criteria := balancer.Wish{
		Service: d.one.service, Passed: d.passed, Crossing: d.pace.zoneCost(d.set.Load().Tuning.CrossingPerKB.Std()),
		Place: d.one.place, IsPlaced: d.one.isPlaced, Limit: d.connectionLimit(), IsTrial: d.mayUseCanary(s), Usual: d.pace.mean(),
	}
	if server := d.chooseAtSite(s, criteria); server != nil || !criteria.IsTrial {
		return server
	}
	criteria.IsTrial = false
	return d.chooseAtSite(s, criteria)
}

// limit is this node's part of the connections that one server accepts from
// all proxies together; a quarter is left for proxies that are just coming.
func (d *delivery) connectionLimit() int {
	s := d.sight.Load()
	maxConnections := s.sheet.Services[d.one.service].MaxConnections
	if maxConnections == 0 || s.proxies == 0 {
		return 0
	}
	return max(1, maxConnections*3/4/s.proxies)
}

// rankPart is the part of a lot that the inquiry may fill.
func (s *sight) slotShare(req *inquiry) float64 {
	if req.lane.Priority <= s.sheet.HighestRank(req.service) {
		return 1
	}
	return lowPriorityShare
}

// chooseWithin chooses a server at the node's own site, or at another one that
// has room for it, and takes the place there.
func (d *delivery) chooseAtSite(s *sight, criteria balancer.Wish) *balancer.Siding {
	mode := d.set.Load().Tuning.Branchline
	if mode == settings.BranchOff || s.tree == nil {
		return s.yard.Choose(criteria, d.clock)
	}
	service, share := d.one.service, s.slotShare(d.one)
	if mode == settings.BranchFallen && !s.yard.IsFallen(service) {
		// While the own site stands, its servers' own refusals bound the load.
		server := s.yard.Choose(criteria, d.clock)
		if server != nil {
			d.places.Store(server, d.purse.Note(service, s.tree.SiteOf(server.ID, server.Cell)))
		}
		return server
	}
	criteria.Allows = func(server *balancer.Siding) bool {
		site := s.tree.SiteOf(server.ID, server.Cell)
		if site == s.site {
			// What failed when last asked is no place to wait at: without room
			// elsewhere the inquiry is refused at once.
			return server.IsSound() || rand.IntN(probeInterval) == 0
		}
		return d.purse.HasRoom(service, site, share)
	}
	for range len(s.yard.Names(service)) + 1 {
		server := s.yard.Choose(criteria, d.clock)
		if server == nil {
			d.purse.Turn(service, max(d.pace.mean(), time.Millisecond))
			return nil
		}
		if release, ok := d.purse.Enter(service, s.tree.SiteOf(server.ID, server.Cell), s.site, share); ok {
			d.places.Store(server, release)
			return server
		}
	}
	return nil
}

// vacate gives back the place that a try took at its server's site.
func (d *delivery) releaseSlot(server *balancer.Siding) {
	if release, ok := d.places.LoadAndDelete(server); ok {
		release.(func())()
	}
}

// isShort tells whether callers wait for room elsewhere; then reports are sent
// at once.
func (p *proxy) needsSlots() bool {
	return p.set.Load().Tuning.Branchline != settings.BranchOff && p.purse.IsShort()
}
