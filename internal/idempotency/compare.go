package idempotency

import (
	"cmp"
	"iter"
	"slices"
)

// Cursor says which entries of a voter are still to be read. The zero cursor has
// nothing left. It belongs to the reader: the voter keeps nothing of it.
type Cursor struct {
	// Ranges are the ranges left to read, in order.
	Ranges []Range `cbor:"1,keyasint,omitempty"`
	// After is the last key of the first range that was read already.
	After *Key `cbor:"2,keyasint,omitempty"`
	// Only are the hashes of the keys that are wanted; empty means all.
	KeyHashes []uint64 `cbor:"3,keyasint,omitempty"`
}

// Digests lists the digest of every range, of the intents in the scope.
//
// Example:
//
//	ranges := idempotency.Differing(mine.Digests(idempotency.Outcomes), theirs)
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

// Differing lists the ranges in which two lists of digests are not the same.
//
// Example:
//
//	ranges := idempotency.Differing(mine.Digests(scope), theirs)
func DifferingRanges(local, remote []Digest) (ranges []Range) {
	for number := range min(len(local), len(remote), RangeCount) {
		if local[number] != remote[number] {
			ranges = append(ranges, Range(number))
		}
	}
	return ranges
}

// Briefs identifies the intents of the given ranges.
//
// Example:
//
//	briefs := voter.Briefs(ranges)
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

// Scope says which intents a comparison is about.
type Scope uint8

// The scopes of a comparison.
const (
	// AllIntents is for a member that rebuilds: it also needs the votes of attempts
	// that may have been granted by a majority.
	AllIntents Scope = iota
	// Outcomes is for a member that votes. An open intent of another member may be
	// a vote that was given back everywhere else; only an outcome stands for good.
	CompletedIntents
)

// Lacking lists the hashes of the keys of which another voter, by its briefs of
// the given ranges, holds what this one lacks: an intent under a key that this one
// does not know, another attempt that reserved a key, or an outcome.
//
// Example:
//
//	cursor.Only = mine.Lacking(ranges, theirs, idempotency.AllIntents)
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

// Read lists entries from the cursor on, up to about so many bytes and one entry at
// least, and returns the cursor of the rest.
//
// Example:
//
//	entries, rest := voter.Read(cursor, 256<<10)
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
			limitBytes -= intent.sizeBytes()
		}
	}
	return entries, Cursor{}
}

// afterIn is the key as the place reached in a range, nil if it is of another.
func cursorKey(number Range, key Key) *Key {
	if rangeOf(key) != number {
		return nil
	}
	return &key
}

// entryOf is the intent with the reservation that it holds.
func newEntry(intent *Intent) Entry {
	entry := Entry{Intent: *intent}
	if intent.State.IsOpen() {
		entry.Quota = &QuotaEvent{QuotaReserve, intent.Reservation, intent.Route}
	}
	return entry
}

// Snapshot lists the table as it stands now, in the order in which it came about:
// enough to make the table again. It holds no copy of the intents, which are never
// changed in place, and may be read beside the voter's owner.
//
// Example:
//
//	for entry := range voter.Snapshot() { write(entry) }
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
		for _, intent := range competing {
			if !yield(Entry{Intent: *intent, Competing: true}) {
				return
			}
		}
	}
}

// Entries lists the snapshot.
//
// Example:
//
//	for _, entry := range voter.Entries() { write(entry) }
func (v *Voter) Entries() []Entry { return slices.Collect(v.Snapshot()) }

// sortByAge brings the order back to that of the intents' creation, after a union or
// a start: what another voter held came in the order of ranges.
func (v *Voter) sortByCreation() {
	if !v.unsorted {
		return
	}
	v.unsorted = false
	slices.SortStableFunc(v.byCreation, func(a, b createdIntent) int { return cmp.Compare(a.createdMs, b.createdMs) })
}
