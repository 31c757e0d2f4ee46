package proxy

import (
	"math/rand/v2"
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/settings"
)

const (
	// lowPriorityShare is the share of the slots at another site that requests
	// below the highest priority of the service may use, so that requests of the
	// highest priority are rejected last.
	lowPriorityShare = 0.7
	// probeInterval: one in so many requests may probe a failing server of an
	// unhealthy site.
	probeInterval = 40
)

// chooseServer chooses the server of the next attempt, or nil. It prefers the canary
// version if the request may go there.
func (d *delivery) chooseServer() *balancer.Siding {
	s := d.sight.Load()
	criteria := balancer.Wish{
		Service: d.one.service, Passed: d.passed, Crossing: d.pace.zoneCost(d.set.Load().Tuning.CrossingPerKB.Std()),
		Place: d.one.place, IsPlaced: d.one.isPlaced, Limit: d.connectionLimit(), IsTrial: d.mayUseCanary(s), Usual: d.pace.mean(),
	}
	if server := d.chooseMatching(s, criteria); server != nil || !criteria.IsTrial {
		return server
	}
	criteria.IsTrial = false
	return d.chooseMatching(s, criteria)
}

// connectionLimit is this node's share of the connections that one server accepts
// from all proxies together. A quarter is reserved for proxies that are starting.
func (d *delivery) connectionLimit() int {
	s := d.sight.Load()
	maxConnections := s.sheet.Services[d.one.service].MaxConnections
	if maxConnections == 0 || s.proxies == 0 {
		return 0
	}
	return max(1, maxConnections*3/4/s.proxies)
}

// slotShare is the share of the slots at another site that the request may use.
func (s *sight) slotShare(req *inquiry) float64 {
	if req.lane.Priority <= s.sheet.HighestRank(req.service) {
		return 1
	}
	return lowPriorityShare
}

// chooseMatching chooses a server at the local site, or at another site with free
// slots, and takes a slot there. It returns nil if no server meets the criteria.
func (d *delivery) chooseMatching(s *sight, criteria balancer.Wish) *balancer.Siding {
	mode := d.set.Load().Tuning.Branchline
	if mode == settings.BranchOff || s.tree == nil {
		return s.yard.Choose(criteria, d.clock)
	}
	service, share := d.one.service, s.slotShare(d.one)
	if mode == settings.BranchFallen && !s.yard.IsFallen(service) {
		// While the local site is healthy, its servers limit the load by rejecting
		// requests themselves.
		server := s.yard.Choose(criteria, d.clock)
		if server != nil {
			d.places.Store(server, d.purse.Note(service, s.tree.SiteOf(server.ID, server.Cell)))
		}
		return server
	}
	criteria.Allows = func(server *balancer.Siding) bool {
		site := s.tree.SiteOf(server.ID, server.Cell)
		if site == s.site {
			// A server that failed its last request is not worth waiting for:
			// without free slots elsewhere the request is rejected at once.
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

// releaseSlot releases the slot that an attempt holds at the site of its server.
func (d *delivery) releaseSlot(server *balancer.Siding) {
	if release, ok := d.places.LoadAndDelete(server); ok {
		release.(func())()
	}
}

// needsSlots reports whether requests lack slots at other sites. Reports are then
// sent in every period.
func (p *proxy) needsSlots() bool {
	return p.set.Load().Tuning.Branchline != settings.BranchOff && p.purse.IsShort()
}
