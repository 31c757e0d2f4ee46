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
func (v *Voter) Expire(now time.Time) (entries []Entry) {
	v.sortByCreation()
	window := v.policy.KeyWindow + v.policy.ClockMargin
	kept := v.byCreation[:0]
	for at, place := range v.byCreation {
		intent := v.table.find(place.key)
		if intent == nil || intent.Attempt != place.attempt {
			continue
		}
		age := intent.age(now)
		if age <= window {
			kept = append(kept, v.byCreation[at:]...)
			break
		}
		if intent.State.IsOpen() {
			ended, _ := intent.Transition(Expired)
			entry := Entry{Intent: ended, Quota: &QuotaEvent{QuotaExpire, intent.Reservation, intent.Route}}
			_ = v.Apply(entry)
			entries = append(entries, entry)
		}
		if age > v.policy.Retention || v.policy.SoftLimitBytes > 0 && v.sizeBytes > v.policy.SoftLimitBytes {
			v.sizeBytes -= v.table.find(place.key).sizeBytes()
			v.table.remove(place.key)
			v.table.removeAllCompeting(place.key)
			continue
		}
		kept = append(kept, place)
	}
	v.byCreation = kept
	return entries
}

// Union adds what another voter holds to a table that is being rebuilt. It may
// only add: it never grants, and an outcome that was shown stands.
//
// Example:
//
//	entries := voter.Union(told)
func (v *Voter) Merge(told []Entry) (entries []Entry) {
	v.unsorted = true
	for _, entry := range told {
		if made := v.mergeIntent(entry.Intent); made != nil {
			entries = append(entries, *made)
		}
	}
	return entries
}

// unionOf takes one intent of another voter, and returns the entry to keep, if any.
func (v *Voter) mergeIntent(told Intent) *Entry {
	held := v.table.find(told.Key)
	entry := newEntry(&told)
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
	case told.State.reportedByOwner() && !held.State.reportedByOwner():
	case held.State.reportedByOwner() || v.table.findCompeting(told.Key, told.Attempt) != nil:
		return nil
	default:
		entry = Entry{Intent: told, Competing: true}
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
func (v *Voter) CountByState(now time.Time) (counts map[string]int, oldest time.Duration) {
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
