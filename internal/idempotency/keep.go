package idempotency

import "time"

// Tend ends what is past its time: an open intent past the key window expires,
// ends past the retention are forgotten, and, where the table is larger than
// its bytes, the oldest ends past the key window go first. It returns the
// entries to keep.
//
// Example:
//
//	entries := voter.Tend(clock.Wall())
func (v *Voter) Tend(now time.Time) (entries []Entry) {
	v.sortByAge()
	window := v.policy.KeyWindow + v.policy.Margin
	kept := v.order[:0]
	for at, place := range v.order {
		intent := v.table.find(place.key)
		if intent == nil || intent.Attempt != place.attempt {
			continue
		}
		age := intent.age(now)
		if age <= window {
			kept = append(kept, v.order[at:]...)
			break
		}
		if intent.State.IsOpen() {
			ended, _ := intent.Step(Expired)
			entry := Entry{Intent: ended, Quota: &QuotaEvent{QuotaExpire, intent.Reservation, intent.Lane}}
			_ = v.Apply(entry)
			entries = append(entries, entry)
		}
		if age > v.policy.Retention || v.policy.Bytes > 0 && v.bytes > v.policy.Bytes {
			v.bytes -= v.table.find(place.key).size()
			v.table.remove(place.key)
			v.table.dropRivals(place.key)
			continue
		}
		kept = append(kept, place)
	}
	v.order = kept
	return entries
}

// Union adds what another voter holds to a table that is being rebuilt. It may
// only add: it never grants, and an outcome that was shown stands.
//
// Example:
//
//	entries := voter.Union(told)
func (v *Voter) Union(told []Entry) (entries []Entry) {
	v.isUnsorted = true
	for _, entry := range told {
		if made := v.unionOf(entry.Intent); made != nil {
			entries = append(entries, *made)
		}
	}
	return entries
}

// unionOf takes one intent of another voter, and returns the entry to keep, if any.
func (v *Voter) unionOf(told Intent) *Entry {
	held := v.table.find(told.Key)
	entry := entryOf(&told)
	switch {
	case told.State == Released || held != nil && held.State == Completed:
		return nil
	case held == nil:
	case held.Attempt == told.Attempt:
		if told.State != Completed {
			return nil
		}
		made, err := v.Record(told)
		if err != nil {
			return nil
		}
		return made
	case told.State.isToldByOwner() && !held.State.isToldByOwner():
	case held.State.isToldByOwner() || v.table.rivalOf(told.Key, told.Attempt) != nil:
		return nil
	default:
		entry = Entry{Intent: told, IsRival: true}
	}
	if v.Apply(entry) != nil {
		return nil
	}
	return &entry
}

// Count tells how many intents stand in each state, and the age of the oldest
// open one.
//
// Example:
//
//	counts, oldest := voter.Count(clock.Wall())
func (v *Voter) Count(now time.Time) (counts map[string]int, oldest time.Duration) {
	counts = map[string]int{}
	for number := range v.table.ranges {
		for _, intent := range v.table.ranges[number].intents {
			counts[intent.State.String()]++
			if age := intent.age(now); intent.State.IsOpen() && age > oldest {
				oldest = age
			}
		}
	}
	return counts, oldest
}
