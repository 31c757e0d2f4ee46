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
func (d *forwarder) chooseServer() *balancer.Endpoint {
	s := d.snapshot.Load()
	criteria := balancer.Criteria{
		Service: d.request.service, Tried: d.tried, ZoneCost: d.stats.zoneCost(d.settings.Load().Tuning.CrossZoneDelayPerKB.Std()),
		Position: d.request.ringPosition, HasPosition: d.request.hasRingPosition, MaxInFlight: d.connectionLimit(), Canary: d.mayUseCanary(s), UsualLatency: d.stats.mean(),
	}
	if server := d.chooseMatching(s, criteria); server != nil || !criteria.Canary {
		return server
	}
	criteria.Canary = false
	return d.chooseMatching(s, criteria)
}

// connectionLimit is this node's share of the connections that one server accepts
// from all proxies together. A quarter is reserved for proxies that are starting.
func (d *forwarder) connectionLimit() int {
	s := d.snapshot.Load()
	maxConnections := int(s.routingTable.Services[d.request.service].MaxConnections)
	if maxConnections < 1 || s.proxyCount == 0 {
		return 0
	}
	return max(1, maxConnections*3/4/s.proxyCount)
}

// slotShare is the share of the slots at another site that the request may use.
func (s *snapshot) slotShare(req *clientRequest) float64 {
	if int(req.route.Priority) <= s.routingTable.HighestPriority(req.service) {
		return 1
	}
	return lowPriorityShare
}

// chooseMatching chooses a server at the local site, or at another site with free
// slots, and takes a slot there. It returns nil if no server meets the criteria.
func (d *forwarder) chooseMatching(s *snapshot, criteria balancer.Criteria) *balancer.Endpoint {
	mode := d.settings.Load().Tuning.CapacityLeases
	if mode == settings.CapacityLeasesOff || s.sites == nil {
		return s.balancer.Choose(criteria, d.clock)
	}
	service, share := d.request.service, s.slotShare(d.request)
	if mode == settings.CapacityLeasesSiteDown && !s.balancer.LocalZoneDegraded(service) {
		// While the local site is healthy, its servers limit the load by rejecting
		// requests themselves.
		server := s.balancer.Choose(criteria, d.clock)
		if server != nil {
			d.siteReservations.Store(server, d.siteCapacity.AcquireUnleased(service, s.sites.SiteOf(server.ID, server.Zone)))
		}
		return server
	}
	criteria.Allowed = func(server *balancer.Endpoint) bool {
		site := s.sites.SiteOf(server.ID, server.Zone)
		if site == s.localSite {
			// A server that failed its last request is not worth waiting for:
			// without free slots elsewhere the request is rejected at once.
			return server.Healthy() || rand.IntN(probeInterval) == 0
		}
		return d.siteCapacity.HasSlot(service, site, share)
	}
	for range len(s.balancer.InstanceIDs(service)) + 1 {
		server := s.balancer.Choose(criteria, d.clock)
		if server == nil {
			d.siteCapacity.RecordRejection(service, max(d.stats.mean(), time.Millisecond))
			return nil
		}
		if release, ok := d.siteCapacity.Acquire(service, s.sites.SiteOf(server.ID, server.Zone), s.localSite, share); ok {
			d.siteReservations.Store(server, release)
			return server
		}
	}
	return nil
}

// releaseSlot releases the slot that an attempt holds at the site of its server.
func (d *forwarder) releaseSlot(server *balancer.Endpoint) {
	if release, ok := d.siteReservations.LoadAndDelete(server); ok {
		release.(func())()
	}
}

// needsSlots reports whether requests lack slots at other sites. Reports are then
// sent in every period.
func (p *proxy) needsSlots() bool {
	return p.settings.Load().Tuning.CapacityLeases != settings.CapacityLeasesOff && p.siteCapacity.HasRejections()
}
