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
func Genesis(legacy []config.Item) (set *Set, dropped []string) {
	replica := NewReplica()
	replica.MergeLegacy(legacy)
	set = replica.Set
	for _, loser := range losers(set.Items) {
		loser.Removed, loser.Body, loser.Host = true, nil, ""
		set.put(loser)
		dropped = append(dropped, loser.ID.Name)
	}
	return set, dropped
}

// losers are the routes whose host and prefix another route holds: the one of
// the higher version, then of the greater name, as config.ItemSet.Compile has it.
func losers(book config.ItemSet) (out []config.Item) {
	holders := map[string]config.Item{}
	for _, item := range book.Items() {
		var route config.RouteSpec
		if item.ID.Class != config.RouteItem || item.Removed || json.Unmarshal(item.Body, &route) != nil {
			continue
		}
		place := item.Host + route.PathPrefix
		holder, isTaken := holders[place]
		switch {
		case !isTaken:
			holders[place] = item
		case item.Version >= holder.Version:
			out = append(out, holder)
			holders[place] = item
		default:
			out = append(out, item)
		}
	}
	return out
}

// whole turns a draft on a genesis set into the change that brings all of it.
func (s *Set) whole(change Change) Change {
	items := append(s.Items.Items(), change.Items...)
	return Change{Index: change.Index, Items: slices.Clip(items), IsWhole: true}
}

// First is the change numbered 1: the legacy items whole, and what a draft on
// their set adds.
//
// Example:
//
//	change := set.First(draft)
func (s *Set) First(draft *Draft) (change Change, isAny bool) {
	change, isAny = draft.Change()
	if len(s.Items) == 0 {
		return change, isAny
	}
	return s.whole(change), true
}
