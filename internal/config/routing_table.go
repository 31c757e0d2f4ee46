package config

import (
	"encoding/json"
	"sort"
	"strings"

	"ploverhitch/internal/hostname"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/shedding"
)

// Route is a route prepared for request routing.
type Route struct {
	RouteSpec
	Host string
	// shares holds the share of the traffic that each service of the traffic split receives.
	shares []float64
	// Tier is the position of the route in the order of load shedding.
	Tier shedding.Tier
	// Mirror is the mirror that copies the traffic of the route, or nil.
	Mirror *Mirror
}

// Mirror is a mirror with its version.
type Mirror struct {
	mirror.Mirror
	Version Version
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool { return r.RouteType == Safe || r.RouteType == Download }

// Pick chooses the route's service by weight for a random number between 0 and 1.
func (r *Route) Pick(point float64) string {
	if len(r.TrafficSplit) == 0 {
		return r.Service
	}
	remaining, last := point, ""
	for i, share := range r.shares {
		if share > 0 {
			last = r.TrafficSplit[i].Service
		}
		if remaining -= share; remaining < 0 {
			break
		}
	}
	return last
}

// trafficShares returns each service's share of the traffic. It divides by the highest weight first, because the sum of
// the weights may be too large for a float.
func trafficShares(split []WeightedService) (shares []float64) {
	highest, sum := 0.0, 0.0
	for _, service := range split {
		highest = max(highest, float64(service.Weight))
	}
	for _, service := range split {
		share := float64(service.Weight) / highest
		shares, sum = append(shares, share), sum+share
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// RoutingTable is an immutable index of a configuration, read on every request.
type RoutingTable struct {
	Services map[string]ServiceSpec
	Limits   LimitsSpec
	routes   map[string]map[string]*Route
	// priorities holds the highest priority of the routes to each service.
	priorities map[string]int
	RouteCount int
	// Plan is the operator's plan of load shedding tiers; Order is the order derived from it.
	Plan  shedding.Plan
	Order *shedding.Order
}

// Compile builds the routing table of the set. If the set holds two routes with the same host and
// prefix, as older builds acknowledged them, the lower version keeps the place, then the lesser name,
// so that all nodes agree.
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

// assignTiers sets the load shedding tier of every route.
func (t *RoutingTable) assignTiers() {
	var routes []shedding.Route
	t.eachRoute(func(route *Route) { routes = append(routes, route.sheddingRoute(route.Host)) })
	t.Order = shedding.NewOrder(t.Plan, routes)
	t.eachRoute(func(route *Route) { route.Tier = t.Order.TierOf(route.Name) })
}

func (t *RoutingTable) assignMirrors(items ItemSet) {
	mirrors, versions := items.Mirrors()
	for i, declared := range mirrors {
		versioned := &Mirror{declared, versions[i]}
		t.eachRoute(func(route *Route) {
			if declared.Covers(mirror.Route{Name: route.Name, Host: route.Host}) {
				route.Mirror = versioned
			}
		})
	}
}

// HasRouteTo reports whether a route delivers to the service.
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
	route := &Route{Host: hostname.Normalize(item.Host)}
	if json.Unmarshal(item.Body, &route.RouteSpec) != nil {
		return
	}
	if t.routes[route.Host][route.PathPrefix] != nil {
		return
	}
	route.shares = trafficShares(route.TrafficSplit)
	if route.MaxAttempts < 1 {
		route.MaxAttempts = 1
	}
	for _, service := range route.Services() {
		if priority, found := t.priorities[service]; !found || int(route.Priority) < priority {
			t.priorities[service] = int(route.Priority)
		}
	}
	if t.routes[route.Host] == nil {
		t.routes[route.Host] = map[string]*Route{}
	}
	t.routes[route.Host][route.PathPrefix] = route
	t.RouteCount++
}

// HighestPriority returns the highest priority (the lowest number) of the routes to a
// service.
func (t *RoutingTable) HighestPriority(service string) int { return t.priorities[service] }

// Find returns the route of the host with the longest prefix of the path, or nil.
func (t *RoutingTable) Find(host, path string) *Route {
	host = hostname.Normalize(host)
	routes := t.routes[host]
	if routes == nil {
		name, _ := hostname.CutPort(host)
		routes = t.routes[name]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := routes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
