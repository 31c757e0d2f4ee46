package idempotency

import (
	"cmp"
	"iter"
	"slices"
)

// Cursor describes the entries of a voter that are still to be read. The zero cursor
// has none left. The reader keeps the cursor; the voter holds no state for it.
type Cursor struct {
	// Ranges are the remaining ranges, in reading order.
	Ranges []Range `cbor:"1,keyasint,omitempty"`
	// After is the last key already read in the first range.
	After *Key `cbor:"2,keyasint,omitempty"`
	// KeyHashes selects keys by hash; empty selects all.
	KeyHashes []uint64 `cbor:"3,keyasint,omitempty"`
}

// Digests returns the digest of every range, taken over the intents in scope.
func (v *Voter) Digests(scope Scope) []Digest {
	digests := make([]Digest, RangeCount)
	for number := range v.table.ranges {
		digests[number] = v.table.ranges[number].digest
		if scope == CompletedIntents {
			digests[number] = v.table.ranges[number].completedDigest
		}
	}
	return digests
}

// DifferingRanges returns the ranges whose digests differ between two voters.
func DifferingRanges(local, remote []Digest) (ranges []Range) {
	for number := range min(len(local), len(remote), RangeCount) {
		if local[number] != remote[number] {
			ranges = append(ranges, Range(number))
		}
	}
	return ranges
}

// Summaries returns the summaries of all intents in the given ranges.
func (v *Voter) Summaries(ranges []Range) (summaries []IntentSummary) {
	for _, number := range ranges {
		if number >= RangeCount {
			continue
		}
		for _, intent := range v.table.ranges[number].all() {
			summaries = append(summaries, intent.summary())
		}
	}
	return summaries
}

// Scope selects the intents that a comparison covers.
type Scope uint8

// The scopes of a comparison.
const (
	// AllIntents is used by a member that rebuilds its table: it also needs the votes
	// for attempts that a majority may have granted.
	AllIntents Scope = iota
	// CompletedIntents is used by a voting member. An open intent on another member
	// may be a vote that was released everywhere else; only an outcome is final.
	CompletedIntents
)

// MissingKeys returns the hashes of the keys for which another voter, according to
// its summaries of the given ranges, holds something that this one does not: an
// intent for an unknown key, another attempt that reserved a key, or an outcome.
func (v *Voter) MissingKeys(ranges []Range, remote []IntentSummary, scope Scope) (keyHashes []uint64) {
	held, completed := map[IntentSummary]bool{}, map[uint64]bool{}
	for _, summary := range v.Summaries(ranges) {
		held[summary] = true
		completed[summary.Key] = completed[summary.Key] || summary.IsCompleted()
	}
	for _, summary := range remote {
		outOfScope := scope == CompletedIntents && !summary.IsCompleted()
		if !outOfScope && !held[summary] && !completed[summary.Key] {
			keyHashes = append(keyHashes, summary.Key)
		}
	}
	return keyHashes
}

// Read returns entries from the cursor on, up to about limitBytes but at least one
// entry, and the cursor for the remaining ones.
func (v *Voter) Read(cursor Cursor, limitBytes int) (entries []Entry, rest Cursor) {
	wanted := map[uint64]bool{}
	for _, hash := range cursor.KeyHashes {
		wanted[hash] = true
	}
	for index, number := range cursor.Ranges {
		if number >= RangeCount {
			continue
		}
		for _, intent := range v.table.sorted(number) {
			alreadyRead := index == 0 && cursor.After != nil && intent.Key.compare(*cursor.After) <= 0
			if alreadyRead || len(wanted) > 0 && !wanted[intent.Key.hash()] {
				continue
			}
			if limitBytes <= 0 && len(entries) > 0 && entries[len(entries)-1].Intent.Key != intent.Key {
				after := entries[len(entries)-1].Intent.Key
				return entries, Cursor{Ranges: cursor.Ranges[index:], After: cursorKey(number, after), KeyHashes: cursor.KeyHashes}
			}
			entries = append(entries, newEntry(intent))
			limitBytes -= intent.size()
		}
	}
	return entries, Cursor{}
}

// cursorKey returns the key as a position in the range, or nil if it belongs to
// another range.
func cursorKey(number Range, key Key) *Key {
	if rangeOf(key) != number {
		return nil
	}
	return &key
}

// newEntry returns the entry for an intent, with the reservation if it is open.
func newEntry(intent *Intent) Entry {
	entry := Entry{Intent: *intent}
	if intent.State.IsOpen() {
		entry.Quota = &QuotaEvent{QuotaReserve, intent.Reservation, intent.Route}
	}
	return entry
}

// Snapshot returns the current table in creation order; applying its entries rebuilds
// the table. It shares the intents, which are never changed in place, so it may be
// read while the voter's owner continues to change the table.
func (v *Voter) Snapshot() iter.Seq[Entry] {
	intents := make([]*Intent, 0, v.table.count)
	for _, created := range v.byCreation {
		if intent := v.table.find(created.key); intent != nil && intent.Attempt == created.attempt {
			intents = append(intents, intent)
		}
	}
	var competing []*Intent
	for number := range v.table.ranges {
		for _, list := range v.table.ranges[number].competing {
			competing = append(competing, list...)
		}
	}
	return func(yield func(Entry) bool) {
		for _, intent := range intents {
			if !yield(newEntry(intent)) {
				return
			}
		}
		for _, other := range competing {
			if !yield(Entry{Intent: *other, Competing: true}) {
				return
			}
		}
	}
}

// Entries returns the snapshot as a slice.
func (v *Voter) Entries() []Entry { return slices.Collect(v.Snapshot()) }

// sortByCreation restores creation order after a merge or a start: entries from
// another voter arrive in the order of ranges.
func (v *Voter) sortByCreation() {
	if !v.unsorted {
		return
	}
	v.unsorted = false
	slices.SortStableFunc(v.byCreation, func(a, b createdIntent) int { return cmp.Compare(a.createdMs, b.createdMs) })
}
