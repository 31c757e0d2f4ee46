package registry

import (
	"maps"

	"ploverhitch/internal/config"
)

const (
	// maxUndoRecords and maxUndoBytes bound the changes that a replica can undo together,
	// maxUndoItems the items of one such change.
	maxUndoRecords = 64
	maxUndoBytes   = 1 << 20
	maxUndoItems   = 1024
)

// undoRecord holds one change and what it replaced in the set.
type undoRecord struct {
	index    Index
	replaced []replacedItem
	// touched is what the items have to do with, before and after the change.
	touched config.Footprint
	size    int
}

// replacedItem is the state of one item before a change. existed is false if the set
// had no such item.
type replacedItem struct {
	id       config.ID
	item     config.Item
	existed  bool
	accepted []AcceptedVersion
}

// undoLog holds the undo records of a replica's most recent changes in ascending order.
type undoLog struct {
	records []undoRecord
	bytes   int
}

// record adds what the next change of the set replaces; it is called before the change
// is applied. A change of all or of very many items can't be undone.
func (l *undoLog) record(set *Set, change Change) {
	if change.ReplacesAll || len(change.Items) > maxUndoItems {
		*l = undoLog{}
		return
	}
	next := undoRecord{index: change.Index, touched: config.FootprintOf(change.Items)}
	for _, item := range change.Items {
		current, existed := set.Items[item.ID]
		next.replaced = append(next.replaced, replacedItem{id: item.ID, item: current, existed: existed, accepted: set.history[item.ID]})
		if existed {
			next.touched.Add(current)
		}
		next.size += approximateSize(current)
	}
	l.records = append(l.records, next)
	l.bytes += next.size
	for len(l.records) > maxUndoRecords || len(l.records) > 0 && l.bytes > maxUndoBytes {
		l.bytes -= l.records[0].size
		l.records[0] = undoRecord{}
		l.records = l.records[1:]
	}
}

// reaches reports whether the log can undo all changes after the base.
func (l *undoLog) reaches(base Index) bool {
	return len(l.records) > 0 && l.records[0].index <= base+1
}

// undo takes a change back from a set to which it was the last one applied.
func (u undoRecord) undo(set *Set) {
	for _, replaced := range u.replaced {
		if replaced.existed {
			set.put(replaced.item)
		} else {
			set.remove(replaced.id)
		}
		if replaced.accepted == nil {
			delete(set.history, replaced.id)
		} else {
			set.history[replaced.id] = replaced.accepted
		}
	}
	set.Index = u.index - 1
}

// clone returns a copy that can be changed independently.
func (s *Set) clone() *Set {
	return &Set{Index: s.Index, Items: s.Items.Clone(), history: maps.Clone(s.history), size: s.size}
}

// pastSet returns the set at an index that the undo log reaches.
func (r *Replica) pastSet(index Index) *Set {
	set := r.Set.clone()
	for i := len(r.undo.records) - 1; i >= 0 && r.undo.records[i].index > index; i-- {
		r.undo.records[i].undo(set)
	}
	return set
}

// reaches reports whether the replica has reached an index and still knows all changes since.
func (r *Replica) reaches(index Index) bool {
	return index == r.Index || index < r.Index && r.undo.reaches(index)
}

// touchedBy returns what the change with the index touched.
func (r *Replica) touchedBy(index Index) config.Footprint {
	return r.undo.records[index-r.undo.records[0].index].touched
}
