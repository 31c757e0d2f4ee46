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
func (r *Route) Repeatable() bool { return r.RouteType == Safe || r.RouteType == Download }

// Pick chooses the route's service for a draw between 0 and 1.
//
// Example:
//
//	service := route.Pick(rand.Float64())
func (r *Route) Pick(draw float64) string {
	if len(r.TrafficSplit) == 0 {
		return r.Service
	}
	remaining := draw * r.totalWeight
	for _, share := range r.TrafficSplit {
		if remaining -= share.Weight; remaining < 0 && share.Weight > 0 {
			return share.Service
		}
	}
	for _, share := range r.TrafficSplit {
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
func (s ItemSet) Compile() *RoutingTable {
	table := &RoutingTable{Services: map[string]ServiceSpec{}, routes: map[string]map[string]*Route{}, priorities: map[string]int{}, Plan: s.Plan()}
	table.Limits = LimitsSpec{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20}
	items := s.Items()
	sort.SliceStable(items, func(i, j int) bool { return items[i].Version < items[j].Version })
	for _, item := range items {
		if item.Removed {
			continue
		}
		switch item.ID.Class {
		case ServiceItem:
			var service ServiceSpec
			if json.Unmarshal(item.Body, &service) == nil {
				table.Services[service.Name] = service
			}
		case LimitsItem:
			_ = json.Unmarshal(item.Body, &table.Limits)
		case RouteItem:
			table.addRoute(item)
		}
	}
	table.assignTiers()
	table.assignMirrors(s)
	return table
}

// layTiers gives every route its place in the order of what is turned away.
func (t *RoutingTable) assignTiers() {
	var routes []shedding.Lane
	t.eachRoute(func(route *Route) { routes = append(routes, route.sheddingRoute(route.Host)) })
	t.Order = shedding.Arrange(t.Plan, routes)
	t.eachRoute(func(route *Route) { route.Tier = t.Order.TierOf(route.Name) })
}

func (t *RoutingTable) assignMirrors(items ItemSet) {
	mirrors, versions := items.Mirrors()
	for i, mirror := range mirrors {
		versioned := &Mirror{mirror, versions[i]}
		t.eachRoute(func(route *Route) {
			if mirror.Covers(loopline.Lane{Name: route.Name, Host: route.Host}) {
				route.Mirror = versioned
			}
		})
	}
}

// IsLive tells whether a route delivers to the service.
//
// Example:
//
//	if sheet.IsLive(mirror.Shadow) { copyNothing() }
func (t *RoutingTable) HasRouteTo(service string) bool {
	_, found := t.priorities[service]
	return found
}

func (t *RoutingTable) eachRoute(visit func(*Route)) {
	for _, routes := range t.routes {
		for _, route := range routes {
			visit(route)
		}
	}
}

func (t *RoutingTable) addRoute(item Item) {
	route := &Route{Host: strings.ToLower(item.Host)}
	if json.Unmarshal(item.Body, &route.RouteSpec) != nil {
		return
	}
	for _, share := range route.TrafficSplit {
		route.totalWeight += share.Weight
	}
	if route.MaxAttempts < 1 {
		route.MaxAttempts = 1
	}
	for _, service := range route.Services() {
		if priority, found := t.priorities[service]; !found || route.Priority < priority {
			t.priorities[service] = route.Priority
		}
	}
	if t.routes[route.Host] == nil {
		t.routes[route.Host] = map[string]*Route{}
	}
	t.routes[route.Host][route.PathPrefix] = route
	t.RouteCount++
}

// HighestRank is the highest rank (the least number) of the routes that lead to
// a service.
//
// Example:
//
//	isUrgent := route.Priority <= sheet.HighestRank(service)
func (t *RoutingTable) HighestPriority(service string) int { return t.priorities[service] }

// Find returns the route of a host with the longest prefix that begins the
// path, or nil.
//
// Example:
//
//	if sheet.Find(r.Host, r.URL.EscapedPath()) == nil { notFound() }
func (t *RoutingTable) Find(host, path string) *Route {
	routes := t.routes[strings.ToLower(host)]
	if routes == nil {
		if hostname, _, hasPort := strings.Cut(host, ":"); hasPort {
			routes = t.routes[strings.ToLower(hostname)]
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := routes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
