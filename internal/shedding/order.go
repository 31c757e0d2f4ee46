// Package shedding decides which requests are rejected first when a whole service is
// overloaded, with the same result at every node: the order of the tiers follows from
// the configuration alone, the leader publishes a cutoff in that order, and within a tier
// a hash decides.
package shedding

import (
	"cmp"
	"slices"
)

// Tier is a position in the order of load shedding. Tier 0 is rejected last.
type Tier int

// Kind is the kind of requests that a route carries. Among routes with the same plan
// tier and priority, the greater kind is rejected first.
type Kind uint8

// The kinds of routes, starting with the one that is rejected last.
const (
	Keyed Kind = iota
	Once
	Read
	Bulk
)

var kindNames = map[Kind]string{Keyed: "keyed", Once: "once", Read: "read", Bulk: "bulk"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Route contains the properties of a route that decide its tier.
type Route struct {
	Name, Host string
	Priority   int
	Kind       Kind
}

// rank is the sort key of routes: the order of the plan tier, then the priority and
// the kind of the route. Routes of the same rank share a tier.
type rank struct {
	planOrder, priority int
	kind                Kind
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.planOrder, other.planOrder), cmp.Compare(r.priority, other.priority), cmp.Compare(r.kind, other.kind))
}

// TierInfo describes one tier of an order, for operators.
type TierInfo struct {
	Tier     Tier     `json:"Tier"`
	Plan     string   `json:"Plan,omitempty"`
	Priority int      `json:"Priority"`
	Kind     string   `json:"Kind"`
	Routes   []string `json:"Routes"`
}

// Order assigns a tier to each route. It is immutable.
type Order struct {
	tierByRoute map[string]Tier
	tiers       []TierInfo
}

// NewOrder returns the order of the routes under a plan, which may be empty. It
// depends on nothing else. Whatever the plan says, no keyed route comes after a bulk
// one, because routes may have changed since the plan was checked.
func NewOrder(plan Plan, routes []Route) *Order {
	ranks := make(map[string]rank, len(routes))
	firstBulk := rank{planOrder: len(plan.Tiers) + 1}
	for _, route := range routes {
		routeRank := rank{plan.orderOf(route), route.Priority, route.Kind}
		ranks[route.Name] = routeRank
		if route.Kind == Bulk && routeRank.compare(firstBulk) < 0 {
			firstBulk = routeRank
		}
	}
	var all []rank
	for _, route := range routes {
		routeRank := ranks[route.Name]
		if route.Kind == Keyed && routeRank.compare(firstBulk) > 0 {
			routeRank = rank{firstBulk.planOrder, firstBulk.priority, Keyed}
			ranks[route.Name] = routeRank
		}
		all = append(all, routeRank)
	}
	slices.SortFunc(all, rank.compare)
	all = slices.Compact(all)
	order := &Order{tierByRoute: make(map[string]Tier, len(routes)), tiers: make([]TierInfo, len(all))}
	for i, tierRank := range all {
		order.tiers[i] = TierInfo{Tier: Tier(i), Plan: plan.tierName(tierRank.planOrder), Priority: tierRank.priority, Kind: tierRank.kind.String()}
	}
	for _, route := range routes {
		index, _ := slices.BinarySearchFunc(all, ranks[route.Name], rank.compare)
		order.tierByRoute[route.Name] = Tier(index)
		order.tiers[index].Routes = append(order.tiers[index].Routes, route.Name)
	}
	for i := range order.tiers {
		slices.Sort(order.tiers[i].Routes)
	}
	return order
}

// TierOf returns the tier of a route. Requests of an unknown route are rejected last.
func (o *Order) TierOf(route string) Tier { return o.tierByRoute[route] }

// Tiers returns the tiers, starting with the one that is rejected last.
func (o *Order) Tiers() []TierInfo { return o.tiers }
