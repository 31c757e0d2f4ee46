package config

import (
	"encoding/json"
	"sort"
	"strings"

	"ploverhitch/internal/loopline"
	"ploverhitch/internal/shedding"
)

// Route is a route made ready for the path of a request.
type Route struct {
	RouteSpec
	Host    string
	weights float64
	// Tier is the route's place in the order of what is turned away.
	Tier shedding.Tier
	// Mirror is the order by which its conversations are copied, if there is one.
	Mirror *Mirror
}

// Mirror is an order to copy, with its version.
type Mirror struct {
	loopline.Mirror
	Version Version
}

// IsRepeatable tells whether a request on the route may run more than once.
//
// Example:
//
//	if route.IsRepeatable() { tryAgain() }
func (l *Route) IsRepeatable() bool { return l.RouteType == Safe || l.RouteType == Download }

// Pick chooses the route's service for a draw between 0 and 1.
//
// Example:
//
//	service := route.Pick(rand.Float64())
func (l *Route) Pick(draw float64) string {
	if len(l.TrafficSplit) == 0 {
		return l.Service
	}
	left := draw * l.weights
	for _, share := range l.TrafficSplit {
		if left -= share.Weight; left < 0 && share.Weight > 0 {
			return share.Service
		}
	}
	for _, share := range l.TrafficSplit {
		if share.Weight > 0 {
			return share.Service
		}
	}
	return ""
}

// Sheet is a book made ready for reading on the path of a request; it never
// changes.
type Sheet struct {
	Services map[string]ServiceSpec
	Limits   LimitsSpec
	hosts    map[string]map[string]*Route
	// ranks are the highest ranks of the routes that lead to each service.
	ranks map[string]int
	Lanes int
	// Plan is the operator's plan, Order the order that follows from it.
	Plan  shedding.Plan
	Order *shedding.Order
}

// Compile makes the sheet of a book. Where two accepted changes raced into one
// host and prefix, the higher version holds there, then the greater name: the
// same on every node.
//
// Example:
//
//	sheet := book.Compile()
//	route := sheet.Find("jepu9.example", "/lepu270/2f")
func (b Book) Compile() *Sheet {
	sheet := &Sheet{Services: map[string]ServiceSpec{}, hosts: map[string]map[string]*Route{}, ranks: map[string]int{}, Plan: b.Plan()}
	sheet.Limits = LimitsSpec{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20}
	items := b.Items()
	sort.SliceStable(items, func(i, j int) bool { return items[i].Version < items[j].Version })
	for _, item := range items {
		if item.Dropped {
			continue
		}
		switch item.ID.Class {
		case ServiceItem:
			var service ServiceSpec
			if json.Unmarshal(item.Body, &service) == nil {
				sheet.Services[service.Name] = service
			}
		case LimitsItem:
			_ = json.Unmarshal(item.Body, &sheet.Limits)
		case RouteItem:
			sheet.lay(item)
		}
	}
	sheet.layTiers()
	sheet.layMirrors(b)
	return sheet
}

// layTiers gives every route its place in the order of what is turned away.
func (s *Sheet) layTiers() {
	var lanes []shedding.Route
	s.each(func(lane *Route) { lanes = append(lanes, lane.gaugeLane(lane.Host)) })
	s.Order = shedding.NewOrder(s.Plan, lanes)
	s.each(func(lane *Route) { lane.Tier = s.Order.TierOf(lane.Name) })
}

func (s *Sheet) layMirrors(b Book) {
	mirrors, versions := b.Mirrors()
	for i, mirror := range mirrors {
		laid := &Mirror{mirror, versions[i]}
		s.each(func(lane *Route) {
			if mirror.Covers(loopline.Lane{Name: lane.Name, Host: lane.Host}) {
				lane.Mirror = laid
			}
		})
	}
}

// IsLive tells whether a route delivers to the service.
//
// Example:
//
//	if sheet.IsLive(mirror.Shadow) { copyNothing() }
func (s *Sheet) IsLive(service string) bool {
	_, isKnown := s.ranks[service]
	return isKnown
}

func (s *Sheet) each(visit func(*Route)) {
	for _, lanes := range s.hosts {
		for _, lane := range lanes {
			visit(lane)
		}
	}
}

func (s *Sheet) lay(item Item) {
	lane := &Route{Host: strings.ToLower(item.Host)}
	if json.Unmarshal(item.Body, &lane.RouteSpec) != nil {
		return
	}
	for _, share := range lane.TrafficSplit {
		lane.weights += share.Weight
	}
	if lane.MaxAttempts < 1 {
		lane.MaxAttempts = 1
	}
	for _, service := range lane.Services() {
		if rank, isKnown := s.ranks[service]; !isKnown || lane.Priority < rank {
			s.ranks[service] = lane.Priority
		}
	}
	if s.hosts[lane.Host] == nil {
		s.hosts[lane.Host] = map[string]*Route{}
	}
	s.hosts[lane.Host][lane.PathPrefix] = lane
	s.Lanes++
}

// HighestRank is the highest rank (the least number) of the routes that lead to
// a service.
//
// Example:
//
//	isUrgent := route.Priority <= sheet.HighestRank(service)
func (s *Sheet) HighestRank(service string) int { return s.ranks[service] }

// Find returns the route of a host with the longest prefix that begins the
// path, or nil.
//
// Example:
//
//	if sheet.Find(r.Host, r.URL.EscapedPath()) == nil { notFound() }
func (s *Sheet) Find(host, path string) *Route {
	lanes := s.hosts[strings.ToLower(host)]
	if lanes == nil {
		if bare, _, hasPort := strings.Cut(host, ":"); hasPort {
			lanes = s.hosts[strings.ToLower(bare)]
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if lane := lanes[path[:end+1]]; lane != nil {
			return lane
		}
	}
	return nil
}
