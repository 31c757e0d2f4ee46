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
	Host        string
	totalWeight float64
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
func (l *Route) Repeatable() bool { return l.RouteType == Safe || l.RouteType == Download }

// Pick chooses the route's service for a draw between 0 and 1.
//
// Example:
//
//	service := route.Pick(rand.Float64())
func (l *Route) Pick(draw float64) string {
	if len(l.TrafficSplit) == 0 {
		return l.Service
	}
	left := draw * l.totalWeight
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
type RoutingTable struct {
	Services map[string]ServiceSpec
	Limits   LimitsSpec
	routes   map[string]map[string]*Route
	// ranks are the highest ranks of the routes that lead to each service.
	priorities map[string]int
	RouteCount int
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
func (b ItemSet) Compile() *RoutingTable {
	sheet := &RoutingTable{Services: map[string]ServiceSpec{}, routes: map[string]map[string]*Route{}, priorities: map[string]int{}, Plan: b.Plan()}
	sheet.Limits = LimitsSpec{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20}
	items := b.Items()
	sort.SliceStable(items, func(i, j int) bool { return items[i].Version < items[j].Version })
	for _, item := range items {
		if item.Removed {
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
			sheet.addRoute(item)
		}
	}
	sheet.assignTiers()
	sheet.assignMirrors(b)
	return sheet
}

// layTiers gives every route its place in the order of what is turned away.
func (s *RoutingTable) assignTiers() {
	var lanes []shedding.Lane
	s.eachRoute(func(lane *Route) { lanes = append(lanes, lane.sheddingRoute(lane.Host)) })
	s.Order = shedding.Arrange(s.Plan, lanes)
	s.eachRoute(func(lane *Route) { lane.Tier = s.Order.TierOf(lane.Name) })
}

func (s *RoutingTable) assignMirrors(b ItemSet) {
	mirrors, versions := b.Mirrors()
	for i, mirror := range mirrors {
		laid := &Mirror{mirror, versions[i]}
		s.eachRoute(func(lane *Route) {
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
func (s *RoutingTable) HasRouteTo(service string) bool {
	_, isKnown := s.priorities[service]
	return isKnown
}

func (s *RoutingTable) eachRoute(visit func(*Route)) {
	for _, lanes := range s.routes {
		for _, lane := range lanes {
			visit(lane)
		}
	}
}

func (s *RoutingTable) addRoute(item Item) {
	lane := &Route{Host: strings.ToLower(item.Host)}
	if json.Unmarshal(item.Body, &lane.RouteSpec) != nil {
		return
	}
	for _, share := range lane.TrafficSplit {
		lane.totalWeight += share.Weight
	}
	if lane.MaxAttempts < 1 {
		lane.MaxAttempts = 1
	}
	for _, service := range lane.Services() {
		if rank, isKnown := s.priorities[service]; !isKnown || lane.Priority < rank {
			s.priorities[service] = lane.Priority
		}
	}
	if s.routes[lane.Host] == nil {
		s.routes[lane.Host] = map[string]*Route{}
	}
	s.routes[lane.Host][lane.PathPrefix] = lane
	s.RouteCount++
}

// HighestRank is the highest rank (the least number) of the routes that lead to
// a service.
//
// Example:
//
//	isUrgent := route.Priority <= sheet.HighestRank(service)
func (s *RoutingTable) HighestPriority(service string) int { return s.priorities[service] }

// Find returns the route of a host with the longest prefix that begins the
// path, or nil.
//
// Example:
//
//	if sheet.Find(r.Host, r.URL.EscapedPath()) == nil { notFound() }
func (s *RoutingTable) Find(host, path string) *Route {
	lanes := s.routes[strings.ToLower(host)]
	if lanes == nil {
		if bare, _, hasPort := strings.Cut(host, ":"); hasPort {
			lanes = s.routes[strings.ToLower(bare)]
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if lane := lanes[path[:end+1]]; lane != nil {
			return lane
		}
	}
	return nil
}
