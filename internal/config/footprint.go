package config

import "encoding/json"

// Footprint is what the validity of items hangs on, and what hangs on them: the items
// themselves, the locations of routes, and the services that routes name. It covers all
// that Check, CheckChange, CheckRoutes and CheckExtensions compare between items, as long
// as there are no mirrors.
type Footprint struct {
	ids       map[ID]bool
	locations map[Location]bool
	// services are the services among the items, targets those that routes name.
	services, targets map[string]bool
	// touchesAll is set if the items can have to do with any other item.
	touchesAll bool
}

// FootprintOf returns the footprint of items.
func FootprintOf(items []Item) Footprint {
	f := Footprint{ids: map[ID]bool{}, locations: map[Location]bool{}, services: map[string]bool{}, targets: map[string]bool{}}
	for _, item := range items {
		f.Add(item)
	}
	return f
}

// Add adds an item to the footprint.
func (f *Footprint) Add(item Item) {
	f.ids[item.ID] = true
	switch item.ID.Class {
	case ServiceItem:
		f.services[item.ID.Name] = true
	case RouteItem:
		f.addRoute(item)
	case LimitsItem:
	case SiteItem, PlanItem, MirrorItem:
		f.touchesAll = true
	}
}

func (f *Footprint) addRoute(item Item) {
	if item.Removed {
		return
	}
	var route RouteSpec
	if json.Unmarshal(item.Body, &route) != nil {
		f.touchesAll = true
		return
	}
	f.locations[LocationOf(item.Host, &route)] = true
	for _, name := range route.Services() {
		f.targets[name] = true
	}
}

// TouchesAll reports whether the items can have to do with any other item.
func (f *Footprint) TouchesAll() bool { return f.touchesAll }

// IsIndependentOf reports whether items with this footprint are equally valid before and
// after a change with the other one.
func (f *Footprint) IsIndependentOf(change Footprint) bool {
	return !f.touchesAll && !change.touchesAll && areDisjoint(f.ids, change.ids) && areDisjoint(f.locations, change.locations) &&
		areDisjoint(f.targets, change.services) && areDisjoint(f.services, change.targets)
}

func areDisjoint[K comparable](a, b map[K]bool) bool {
	for key := range a {
		if b[key] {
			return false
		}
	}
	return true
}

// HasMirrors reports whether the set has a mirror. Mirrors are compared with all routes and
// services on every change.
func (s ItemSet) HasMirrors() bool {
	for id, item := range s {
		if id.Class == MirrorItem && !item.Removed {
			return true
		}
	}
	return false
}
