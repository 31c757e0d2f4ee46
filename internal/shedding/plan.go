package shedding

import (
	"slices"
	"strconv"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/juju/errors"

	"ploverhitch/internal/hostname"
)

// PlanTier is a tier of an operator's plan: tenants, named by their hosts, or single
// routes. The tier with order 1 is rejected last.
type PlanTier struct {
	Name   string   `json:"Name"`
	Order  int      `json:"Order"`
	Hosts  []string `json:"Hosts,omitempty"`
	Routes []string `json:"Routes,omitempty"`
}

// Plan contains the operator's tiers. A route belongs to the tier that names it, or
// else to the one that names its host. Routes in no tier come after all tiers.
type Plan struct {
	Name  string     `json:"Name"`
	Tiers []PlanTier `json:"Tiers"`
	// Conversation names the header that identifies a client. Without it, or if a
	// client does not send it, the client's address is used.
	Conversation string `json:"Conversation,omitempty"`
}

// Check validates the plan by itself and against the existing routes.
func (p Plan) Check(routes []Route) error {
	err := validation.ValidateStruct(&p, validation.Field(&p.Name, validation.Required), validation.Field(&p.Tiers, validation.Required))
	if err != nil {
		return errors.Annotatef(err, "plan %s", p.Name)
	}
	orders, names, assigned := map[int]string{}, map[string]bool{}, map[string]string{}
	assign := func(member, tier string) error {
		if other, found := assigned[member]; found {
			return errors.NotValidf("plan %s: %s in tiers %s and %s", p.Name, member, other, tier)
		}
		assigned[member] = tier
		return nil
	}
	for _, tier := range p.Tiers {
		switch other, duplicate := orders[tier.Order]; {
		case tier.Name == "" || names[tier.Name]:
			return errors.NotValidf("plan %s: empty or duplicate tier name %q", p.Name, tier.Name)
		case duplicate:
			return errors.NotValidf("plan %s: order %d of both tiers %s and %s", p.Name, tier.Order, other, tier.Name)
		}
		names[tier.Name], orders[tier.Order] = true, tier.Name
		for _, host := range tier.Hosts {
			if !slices.ContainsFunc(routes, func(route Route) bool { return hostname.Equal(route.Host, host) }) {
				return errors.NotFoundf("plan %s: host %s of tier %s", p.Name, host, tier.Name)
			}
			if err := assign("host "+hostname.Normalize(host), tier.Name); err != nil {
				return err
			}
		}
		for _, name := range tier.Routes {
			if !slices.ContainsFunc(routes, func(route Route) bool { return route.Name == name }) {
				return errors.NotFoundf("plan %s: route %s of tier %s", p.Name, name, tier.Name)
			}
			if err := assign("route "+name, tier.Name); err != nil {
				return err
			}
		}
	}
	for order := 1; order <= len(p.Tiers); order++ {
		if orders[order] == "" {
			return errors.NotValidf("plan %s: list of %d tiers without a tier of order %s", p.Name, len(p.Tiers), strconv.Itoa(order))
		}
	}
	return p.checkKeyedRoutes(routes)
}

// checkKeyedRoutes returns an error if a keyed route is in a later tier than a bulk
// route.
func (p Plan) checkKeyedRoutes(routes []Route) error {
	for _, keyed := range routes {
		for _, bulk := range routes {
			if keyed.Kind == Keyed && bulk.Kind == Bulk && p.orderOf(keyed) > p.orderOf(bulk) {
				return errors.NotValidf("plan %s: keyed route %s after bulk route %s", p.Name, keyed.Name, bulk.Name)
			}
		}
	}
	return nil
}

// orderOf returns the order of a route's tier in the plan, starting at 1.
func (p Plan) orderOf(route Route) int {
	for _, tier := range p.Tiers {
		if slices.Contains(tier.Routes, route.Name) {
			return tier.Order
		}
	}
	for _, tier := range p.Tiers {
		if slices.ContainsFunc(tier.Hosts, func(host string) bool { return hostname.Equal(host, route.Host) }) {
			return tier.Order
		}
	}
	return len(p.Tiers) + 1
}

func (p Plan) tierName(order int) string {
	for _, tier := range p.Tiers {
		if tier.Order == order {
			return tier.Name
		}
	}
	return ""
}
