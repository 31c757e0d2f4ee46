package registry

import (
	"encoding/json"
	"slices"

	"ploverhitch/internal/config"
)

// Genesis is the set that the first numbered change makes of what an older build
// of the program left on disk without numbers, together with the names of the
// routes that had to be dropped because another held their host and prefix.
//
// Example:
//
//	set, dropped := registry.Genesis(legacy)
func MigrateLegacy(legacy []config.Item) (set *Set, dropped []string) {
	replica := NewReplica()
	replica.MergeLegacy(legacy)
	set = replica.Set
	for _, item := range shadowedRoutes(set.Items) {
		item.Dropped, item.Body, item.Host = true, nil, ""
		set.put(item)
		dropped = append(dropped, item.ID.Name)
	}
	return set, dropped
}

// losers are the routes whose host and prefix another route holds: the one of
// the higher version, then of the greater name, as config.Compile has it.
func shadowedRoutes(book config.Book) (shadowed []config.Item) {
	owners := map[string]config.Item{}
	for _, item := range book.Items() {
		var route config.RouteSpec
		if item.ID.Class != config.RouteItem || item.Dropped || json.Unmarshal(item.Body, &route) != nil {
			continue
		}
		location := item.Host + route.PathPrefix
		owner, taken := owners[location]
		switch {
		case !taken:
			owners[location] = item
		case item.Version >= owner.Version:
			shadowed = append(shadowed, owner)
			owners[location] = item
		default:
			shadowed = append(shadowed, item)
		}
	}
	return shadowed
}

// whole turns a draft on a genesis set into the change that brings all of it.
func (s *Set) replaceAll(change Change) Change {
	items := append(s.Items.Items(), change.Items...)
	return Change{Index: change.Index, Items: slices.Clip(items), ReplacesAll: true}
}

// First is the change numbered 1: the legacy items whole, and what a draft on
// their set adds.
//
// Example:
//
//	change := set.First(draft)
func (s *Set) InitialChange(draft *Draft) (change Change, ok bool) {
	change, ok = draft.Change()
	if len(s.Items) == 0 {
		return change, ok
	}
	return s.replaceAll(change), true
}
