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
	lesserPart = 0.7
	// probeOne: of so many choices that meet a failing server of a fallen site,
	// one may try it.
	probeOne = 40
)

func (d *forwarder) choose() *balancer.Siding {
	s := d.snapshot.Load()
	wish := balancer.Wish{
		Service: d.request.service, Passed: d.tried, Crossing: d.stats.crossing(d.settings.Load().Tuning.CrossingPerKB.Std()),
		Place: d.request.ringPosition, IsPlaced: d.request.hasRingPosition, Limit: d.limit(), IsTrial: d.mayTry(s), Usual: d.stats.mean(),
	}
	if siding := d.chooseWithin(s, wish); siding != nil || !wish.IsTrial {
		return siding
	}
	wish.IsTrial = false
	return d.chooseWithin(s, wish)
}

// limit is this node's part of the connections that one server accepts from
// all proxies together; a quarter is left for proxies that are just coming.
func (d *forwarder) limit() int {
	s := d.snapshot.Load()
	most := s.manifest.Services[d.request.service].MaxConnections
	if most == 0 || s.proxyCount == 0 {
		return 0
	}
	return max(1, most*3/4/s.proxyCount)
}

// rankPart is the part of a lot that the inquiry may fill.
func (s *snapshot) rankPart(one *clientRequest) float64 {
	if one.route.Priority <= s.manifest.HighestRank(one.service) {
		return 1
	}
	return lesserPart
}

// chooseWithin chooses a server at the node's own site, or at another one that
// has room for it, and takes the place there.
func (d *forwarder) chooseWithin(s *snapshot, wish balancer.Wish) *balancer.Siding {
	mode := d.settings.Load().Tuning.Branchline
	if mode == settings.BranchOff || s.sites == nil {
		return s.balancer.Choose(wish, d.clock)
	}
	service, part := d.request.service, s.rankPart(d.request)
	if mode == settings.BranchFallen && !s.balancer.IsFallen(service) {
		// While the own site stands, its servers' own refusals bound the load.
		siding := s.balancer.Choose(wish, d.clock)
		if siding != nil {
			d.siteReservations.Store(siding, d.siteCapacity.Note(service, s.sites.SiteOf(siding.ID, siding.Cell)))
		}
		return siding
	}
	wish.Allows = func(siding *balancer.Siding) bool {
		site := s.sites.SiteOf(siding.ID, siding.Cell)
		if site == s.localSite {
			// What failed when last asked is no place to wait at: without room
			// elsewhere the inquiry is refused at once.
			return siding.IsSound() || rand.IntN(probeOne) == 0
		}
		return d.siteCapacity.HasRoom(service, site, part)
	}
	for range len(s.balancer.Names(service)) + 1 {
		siding := s.balancer.Choose(wish, d.clock)
		if siding == nil {
			d.siteCapacity.Turn(service, max(d.stats.mean(), time.Millisecond))
			return nil
		}
		if leave, isIn := d.siteCapacity.Enter(service, s.sites.SiteOf(siding.ID, siding.Cell), s.localSite, part); isIn {
			d.siteReservations.Store(siding, leave)
			return siding
		}
	}
	return nil
}

// vacate gives back the place that a try took at its server's site.
func (d *forwarder) vacate(siding *balancer.Siding) {
	if leave, isIn := d.siteReservations.LoadAndDelete(siding); isIn {
		leave.(func())()
	}
}

// isShort tells whether callers wait for room elsewhere; then reports are sent
// at once.
func (p *proxy) isShort() bool {
	return p.settings.Load().Tuning.Branchline != settings.BranchOff && p.siteCapacity.IsShort()
}
