package registry

import (
	"encoding/json"
	"slices"

	"ploverhitch/internal/config"
)

// MigrateLegacy returns the set that the first numbered change makes of the
// unnumbered items that an older build stored, and the names of the routes that it
// drops because another route has their host and prefix.
func MigrateLegacy(legacy []config.Item) (set *Set, dropped []string) {
	replica := NewReplica()
	replica.MergeLegacy(legacy)
	set = replica.Set
	for _, item := range duplicateRoutes(set.Items) {
		item.Removed, item.Body, item.Host = true, nil, ""
		set.put(item)
		dropped = append(dropped, item.ID.Name)
	}
	return set, dropped
}

// duplicateRoutes returns the routes whose host and prefix belong to another route:
// the one with the higher version, then with the greater name.
func duplicateRoutes(itemSet config.ItemSet) (duplicates []config.Item) {
	owners := map[config.Location]config.Item{}
	for _, item := range itemSet.Items() {
		var route config.RouteSpec
		if item.ID.Class != config.RouteItem || item.Removed || json.Unmarshal(item.Body, &route) != nil {
			continue
		}
		location := config.LocationOf(item.Host, &route)
		owner, taken := owners[location]
		switch {
		case !taken:
			owners[location] = item
		case item.Version >= owner.Version:
			duplicates = append(duplicates, owner)
			owners[location] = item
		default:
			duplicates = append(duplicates, item)
		}
	}
	return duplicates
}

// replaceAll extends a change to a migrated set to one that contains the whole set.
func (s *Set) replaceAll(change Change) Change {
	items := append(s.Items.Items(), change.Items...)
	return Change{Index: change.Index, Items: slices.Clip(items), ReplacesAll: true}
}

// InitialChange returns the change with index 1: all legacy items, and the items
// that a draft on their set adds.
func (s *Set) InitialChange(draft *Draft) (change Change, ok bool) {
	change, ok = draft.Change()
	if len(s.Items) == 0 {
		return change, ok
	}
	return s.replaceAll(change), true
}
