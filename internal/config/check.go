package config

import (
	"encoding/json"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/hostname"
)

// Location is the place of a route in the routing table. Two routes share host and prefix exactly if
// their locations are equal, and then only one of them can be served.
type Location struct{ host, prefix string }

// LocationOf returns the location of a route of the host.
func LocationOf(host string, route *RouteSpec) Location {
	return Location{hostname.Normalize(host), route.PathPrefix}
}

// Problem is a reason why a set of items is invalid, with the items that cause it together.
type Problem struct {
	Items []ID
	Text  string
}

func (p Problem) isCausedBy(ids map[ID]bool) bool {
	for _, id := range p.Items {
		if ids[id] {
			return true
		}
	}
	return false
}

func (p Problem) err() error { return apierror.New(apierror.InvalidConfiguration, p.Text) }

// Check validates the routes of the set: every route delivers to known services, and no
// two routes share host and prefix. The error names the item.
func (s ItemSet) Check() error { return firstProblem(s.Problems()) }

// Problems returns the reasons why the set is invalid.
func (s ItemSet) Problems() []Problem { return s.routeProblems(s.Items()) }

// CheckChange validates the set that the given items result in. Problems that none of them
// takes part in were there before, and are not held against the change.
func (s ItemSet) CheckChange(newer []Item) error {
	ids := map[ID]bool{}
	for _, item := range newer {
		ids[item.ID] = true
	}
	for _, problem := range s.Problems() {
		if problem.isCausedBy(ids) {
			return problem.err()
		}
	}
	return nil
}

// CheckRoutes validates the routes among the items against the set's services and against
// each other.
func (s ItemSet) CheckRoutes(items []Item) error { return firstProblem(s.routeProblems(items)) }

func firstProblem(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return problems[0].err()
}

func (s ItemSet) routeProblems(items []Item) (problems []Problem) {
	owners := map[Location]ID{}
	for _, item := range items {
		if item.ID.Class != RouteItem || item.Removed {
			continue
		}
		var route RouteSpec
		if err := json.Unmarshal(item.Body, &route); err != nil {
			problems = append(problems, Problem{[]ID{item.ID}, "route " + item.ID.Name + ": " + err.Error()})
			continue
		}
		for _, name := range route.Services() {
			serviceID := ID{ServiceItem, name}
			if service, found := s[serviceID]; !found || service.Removed {
				problems = append(problems, Problem{[]ID{item.ID, serviceID}, "route " + route.Name + " names the unknown service " + name})
			}
		}
		place := LocationOf(item.Host, &route)
		if owner, taken := owners[place]; taken {
			problems = append(problems, Problem{[]ID{owner, item.ID}, "routes " + owner.Name + " and " + route.Name + " share host and prefix"})
			continue
		}
		owners[place] = item.ID
	}
	return problems
}

// ValidateUpdate validates an operator's request: both the set that it results in and the
// request by itself, whose routes must be valid even if the set holds higher versions. It
// returns the items that have an effect, and the resulting set.
func (s ItemSet) ValidateUpdate(items []Item) (newer []Item, merged ItemSet, err error) {
	newer, merged = s.Newer(items), s.Clone()
	merged.Merge(newer)
	if err = merged.CheckChange(newer); err == nil {
		err = merged.CheckRoutes(items)
	}
	return newer, merged, err
}
