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
type Lane struct {
	Name, Host string
	Priority   int
	Kind       Kind
}

// rank is what lanes are ordered by: the plan's tier, the lane's priority, and
// its kind. Lanes of one rank share a tier.
type rank struct {
	plan, priority int
	kind           Kind
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.plan, other.plan), cmp.Compare(r.priority, other.priority), cmp.Compare(r.kind, other.kind))
}

// Rung is one tier of an order, for operators to read.
type Rung struct {
	Tier     Tier     `json:"Tier"`
	Plan     string   `json:"Plan,omitempty"`
	Priority int      `json:"Priority"`
	Kind     string   `json:"Kind"`
	Lanes    []string `json:"Routes"`
}

// Order is the tiers of all lanes. It never changes once made.
type Order struct {
	tiers map[string]Tier
	rungs []Rung
}

// Arrange lays the order of the lanes under a plan, which may be the empty one.
// It is a function of both and of nothing else. Whatever the plan says, no keyed
// lane comes after a bulk one: lanes may have changed since the plan was checked.
//
// Example:
//
//	order := shedding.Arrange(shedding.Plan{}, lanes)
func Arrange(plan Plan, lanes []Lane) *Order {
	ranks := make(map[string]rank, len(lanes))
	firstBulk := rank{plan: len(plan.Tiers) + 1}
	for _, lane := range lanes {
		at := rank{plan.orderOf(lane), lane.Priority, lane.Kind}
		ranks[lane.Name] = at
		if lane.Kind == Bulk && at.compare(firstBulk) < 0 {
			firstBulk = at
		}
	}
	var all []rank
	for _, lane := range lanes {
		at := ranks[lane.Name]
		if lane.Kind == Keyed && at.compare(firstBulk) > 0 {
			at = rank{firstBulk.plan, firstBulk.priority, Keyed}
			ranks[lane.Name] = at
		}
		all = append(all, at)
	}
	slices.SortFunc(all, rank.compare)
	all = slices.Compact(all)
	order := &Order{tiers: make(map[string]Tier, len(lanes)), rungs: make([]Rung, len(all))}
	for i, at := range all {
		order.rungs[i] = Rung{Tier: Tier(i), Plan: plan.nameOf(at.plan), Priority: at.priority, Kind: at.kind.String()}
	}
	for _, lane := range lanes {
		at, _ := slices.BinarySearchFunc(all, ranks[lane.Name], rank.compare)
		order.tiers[lane.Name] = Tier(at)
		order.rungs[at].Lanes = append(order.rungs[at].Lanes, lane.Name)
	}
	for i := range order.rungs {
		slices.Sort(order.rungs[i].Lanes)
	}
	return order
}

// TierOf is the tier of a lane; one that is not known is turned away last.
//
// Example:
//
//	tier := order.TierOf(lane.Name)
func (o *Order) TierOf(lane string) Tier { return o.tiers[lane] }

// Rungs are the tiers from the one that is kept longest.
//
// Example:
//
//	for _, rung := range order.Rungs() { print(rung) }
func (o *Order) Rungs() []Rung { return o.rungs }

// isHost tells whether two names of a host are the same.
func isHost(a, z string) bool { return strings.EqualFold(a, z) }
