package registry

import (
	"slices"

	"ploverhitch/internal/config"
)

// Page is a part of the item set, ordered by ID. Pages are read one after another
// while changes are applied, so their indexes may differ; applying the changes that
// follow the first page's index brings all of them to the same index.
type Page struct {
	// Index is the index of the set that the page was read from.
	Index   Index         `cbor:"1,keyasint"`
	Items   []config.Item `cbor:"2,keyasint,omitempty"`
	History []History     `cbor:"3,keyasint,omitempty"`
	// First and Last mark the first and the last page of the set.
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

// PageAfter returns the page of about maxBytes that follows an item, or the first
// page if after is nil.
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

// Pages iterates over the pages of the whole set.
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

// Assembly builds a set from the pages of another replica's set.
type Assembly struct {
	set   *Set
	first Index
	last  Index
	// inconsistent says that a page was read from an older set than the page before it.
	inconsistent bool
}

// Add appends the next page; a first page starts the assembly again.
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

// After returns the ID of the page's last item, which the next page follows.
func (p Page) After() *config.ID {
	if len(p.Items) == 0 {
		return nil
	}
	return &p.Items[len(p.Items)-1].ID
}

// Finish brings the pages to one index by applying the changes that followed the
// first page, and reports whether these reach at least the last page's index. Pages
// of a replica that lost its set between two of them are never complete.
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

// Install replaces the replica's set with a newer one, for example after catching up
// by pages, and resets the acceptor: its change has been decided by then.
func (r *Replica) Install(set *Set) bool {
	if set.Index <= r.Index && !(set.Index == 0 && r.Index == 0) {
		return false
	}
	r.Set, r.Acceptor = set, Acceptor{}
	r.recent, r.recentBytes, r.undo = nil, 0, undoLog{}
	return true
}
