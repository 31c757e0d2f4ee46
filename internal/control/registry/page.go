package registry

import (
	"slices"

	"ploverhitch/internal/config"
)

// Page is a part of the item set, in the order of the ids. Pages are read one
// after another while changes go on: they may be of different indexes, and the
// changes that follow the first page's index bring them all to one.
type Page struct {
	// Index is that of the set which the page was cut from.
	Index   Index         `cbor:"1,keyasint"`
	Items   []config.Item `cbor:"2,keyasint,omitempty"`
	History []History     `cbor:"3,keyasint,omitempty"`
	// IsFirst and IsLast mark the ends.
	First bool `cbor:"4,keyasint,omitempty"`
	Last  bool `cbor:"5,keyasint,omitempty"`
}

func compareIDs(a, b config.ID) int {
	if a.Class != b.Class {
		return int(a.Class) - int(b.Class)
	}
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// PageAfter cuts the page that follows an item, of about so many bytes; nil asks
// for the first.
//
// Example:
//
//	page := set.PageAfter(nil, 64<<10)
func (s *Set) PageAfter(after *config.ID, maxBytes int) Page {
	return s.pageOf(s.sortedIDs(), after, maxBytes)
}

func (s *Set) sortedIDs() []config.ID {
	ids := make([]config.ID, 0, len(s.Items))
	for id := range s.Items {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

func (s *Set) pageOf(ids []config.ID, after *config.ID, maxBytes int) Page {
	page := Page{Index: s.Index, First: after == nil}
	from := 0
	if after != nil {
		at, found := slices.BinarySearchFunc(ids, *after, compareIDs)
		if from = at; found {
			from++
		}
	}
	size, next := 0, from
	for ; next < len(ids) && (size < maxBytes || next == from); next++ {
		item := s.Items[ids[next]]
		page.Items = append(page.Items, item)
		page.History = append(page.History, History{item.ID, s.history[item.ID]})
		size += approximateSize(item)
	}
	page.Last = next == len(ids)
	return page
}

// Pages cuts the whole set.
//
// Example:
//
//	for page := range set.Pages(64 << 10) { keep(page) }
func (s *Set) Pages(maxBytes int) func(yield func(Page) bool) {
	return func(yield func(Page) bool) {
		ids := s.sortedIDs()
		var after *config.ID
		for {
			page := s.pageOf(ids, after, maxBytes)
			if !yield(page) || page.Last {
				return
			}
			after = &page.Items[len(page.Items)-1].ID
		}
	}
}

// Assembly puts the pages of another replica's set together.
type Assembly struct {
	set   *Set
	first Index
	last  Index
	// isBroken says that a page was cut from an older set than the one before.
	inconsistent bool
}

// Add takes the next page.
//
// Example:
//
//	assembly.Add(page)
func (a *Assembly) Add(page Page) {
	if page.First || a.set == nil {
		a.set, a.first, a.inconsistent = NewSet(), page.Index, false
	} else if page.Index < a.last {
		a.inconsistent = true
	}
	for _, item := range page.Items {
		a.set.put(item)
	}
	for _, history := range page.History {
		a.set.history[history.ID] = history.Accepted
	}
	a.last = page.Index
}

// After is the item that the next page follows.
//
// Example:
//
//	page := ask(assembly.After())
func (p Page) After() *config.ID {
	if len(p.Items) == 0 {
		return nil
	}
	return &p.Items[len(p.Items)-1].ID
}

// Finish brings the pages to one index by the changes that followed the first of
// them, which must reach the last page's index at least; it tells whether they do.
// Pages of a replica that lost its set between two of them never come to a whole.
//
// Example:
//
//	set, isWhole := assembly.Finish(changes)
func (a *Assembly) Finish(changes []Change) (set *Set, complete bool) {
	if a.set == nil || a.inconsistent {
		return nil, false
	}
	a.set.Index = a.first
	for _, change := range changes {
		if change.Index == a.set.Index+1 {
			a.set.apply(change)
		}
	}
	return a.set, a.set.Index >= a.last
}

// Install replaces the replica's set by a newer one, as after catching up by
// pages. What the acceptor holds concerned a change that is decided by then.
//
// Example:
//
//	if replica.Install(set) { publishAll() }
func (r *Replica) Install(set *Set) bool {
	if set.Index <= r.Index && !(set.Index == 0 && r.Index == 0) {
		return false
	}
	r.Set, r.Acceptor = set, Acceptor{}
	r.recent, r.recentBytes = nil, 0
	return true
}
