// Package shedding decides which inquiries are turned away first when a whole
// service is overloaded, so that every node says the same of each: an order of
// tiers that follows from the manifest alone, a cutoff in that order which the
// holder of the duty publishes, and a verdict by hash.
package shedding

import (
	"cmp"
	"slices"
	"strings"
)

// Tier is a place in the order: tier 0 is turned away last.
type Tier int

// Kind is what sort of inquiries a lane carries; of equal rank, the greater kind
// is turned away first.
type Kind uint8

// The kinds, from the one kept longest.
const (
	Keyed Kind = iota
	Once
	Read
	Bulk
)

var kindNames = map[Kind]string{Keyed: "keyed", Once: "once", Read: "read", Bulk: "bulk"}

// String names the kind.
//
// Example:
//
//	shedding.Bulk.String() // "bulk"
func (k Kind) String() string { return kindNames[k] }

// Lane is what the order has to know of a lane.
type Route struct {
	Name, Host string
	Priority   int
	Kind       Kind
}

// rank is what lanes are ordered by: the plan's tier, the lane's priority, and
// its kind. Lanes of one rank share a tier.
type rank struct {
	planOrder, priority int
	kind                Kind
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.planOrder, other.planOrder), cmp.Compare(r.priority, other.priority), cmp.Compare(r.kind, other.kind))
}

// Rung is one tier of an order, for operators to read.
type TierInfo struct {
	Tier     Tier     `json:"Tier"`
	Plan     string   `json:"Plan,omitempty"`
	Priority int      `json:"Priority"`
	Kind     string   `json:"Kind"`
	Routes   []string `json:"Routes"`
}

// Order is the tiers of all lanes. It never changes once made.
type Order struct {
	tierByRoute map[string]Tier
	tiers       []TierInfo
}

// Arrange lays the order of the lanes under a plan, which may be the empty one.
// It is a function of both and of nothing else. Whatever the plan says, no keyed
// lane comes after a bulk one: lanes may have changed since the plan was checked.
//
// Example:
//
//	order := shedding.Arrange(shedding.Plan{}, lanes)
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

// TierOf is the tier of a lane; one that is not known is turned away last.
//
// Example:
//
//	tier := order.TierOf(lane.Name)
func (o *Order) TierOf(route string) Tier { return o.tierByRoute[route] }

// Rungs are the tiers from the one that is kept longest.
//
// Example:
//
//	for _, rung := range order.Rungs() { print(rung) }
func (o *Order) Tiers() []TierInfo { return o.tiers }

// isHost tells whether two names of a host are the same.
func sameHost(a, b string) bool { return strings.EqualFold(a, b) }
