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
	for index, created := range v.byCreation {
		intent := v.table.find(created.key)
		if intent == nil || intent.Attempt != created.attempt {
			continue
		}
		age := intent.age(now)
		if age <= window {
			kept = append(kept, v.byCreation[index:]...)
			break
		}
		if intent.State.IsOpen() {
			expired, _ := intent.Transition(Expired)
			entry := Entry{Intent: expired, Quota: &QuotaEvent{QuotaExpire, intent.Reservation, intent.Route}}
			_ = v.Apply(entry)
			entries = append(entries, entry)
		}
		if age > v.policy.Retention || v.policy.SoftLimitBytes > 0 && v.sizeBytes > v.policy.SoftLimitBytes {
			v.sizeBytes -= v.table.find(created.key).sizeBytes()
			v.table.remove(created.key)
			v.table.removeAllCompeting(created.key)
			continue
		}
		kept = append(kept, created)
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
func (v *Voter) Merge(received []Entry) (entries []Entry) {
	v.unsorted = true
	for _, entry := range received {
		if merged := v.mergeIntent(entry.Intent); merged != nil {
			entries = append(entries, *merged)
		}
	}
	return entries
}

// unionOf takes one intent of another voter, and returns the entry to keep, if any.
func (v *Voter) mergeIntent(received Intent) *Entry {
	existing := v.table.find(received.Key)
	entry := newEntry(&received)
	switch {
	case received.State == Released || existing != nil && existing.State == Completed:
		return nil
	case existing == nil:
	case existing.Attempt == received.Attempt:
		if received.State != Completed {
			return nil
		}
		recorded, err := v.Record(received)
		if err != nil {
			return nil
		}
		return recorded
	case received.State.reportedByOwner() && !existing.State.reportedByOwner():
	case existing.State.reportedByOwner() || v.table.findCompeting(received.Key, received.Attempt) != nil:
		return nil
	default:
		entry = Entry{Intent: received, Competing: true}
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
