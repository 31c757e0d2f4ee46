package idempotency

import "time"

// Expire expires open intents past the key window and removes final ones past the
// retention. While the table exceeds its soft limit, final intents past the key window
// are removed early, oldest first. It returns the entries to persist.
func (v *Voter) Expire(now time.Time) (entries []Entry) {
	v.sortByCreation()
	count := len(v.byCreation)
	window := v.policy.KeyWindow + v.policy.ClockMargin
	kept := v.byCreation[:0]
	for index, created := range v.byCreation {
		intent := v.table.find(created.key)
		if intent == nil || intent.Attempt != created.attempt {
			continue
		}
		age := intent.age(now)
		if age <= window {
			kept = append(kept, v.byCreation[index:count]...)
			break
		}
		if intent.State.IsOpen() {
			expired, _ := intent.Transition(Expired)
			entry := Entry{Intent: expired, Quota: &QuotaEvent{QuotaExpire, intent.Reservation, intent.Route}}
			_ = v.Apply(entry)
			entries = append(entries, entry)
		}
		if age > v.policy.Retention || v.policy.SoftLimitBytes > 0 && v.sizeBytes > v.policy.SoftLimitBytes {
			v.removeHolder(created.key)
			continue
		}
		kept = append(kept, created)
	}
	if promoted := v.byCreation[count:]; len(promoted) > 0 {
		kept, v.unsorted = append(kept, promoted...), true
	}
	v.byCreation = kept
	return entries
}

// removeHolder removes the intent that holds a key. A competing intent, whose window may
// be open, takes its place.
func (v *Voter) removeHolder(key Key) {
	v.sizeBytes -= v.table.find(key).size()
	v.table.remove(key)
	_, _ = v.promoteCompeting(key)
}

// Merge adds the entries of another voter to the table and returns the entries to
// persist. It grants no reservation and never replaces a recorded outcome.
func (v *Voter) Merge(received []Entry) (entries []Entry) {
	v.unsorted = true
	for _, entry := range received {
		if merged := v.mergeIntent(entry.Intent); merged != nil {
			entries = append(entries, *merged)
		}
	}
	return entries
}

// mergeIntent merges one intent of another voter and returns the entry to persist, if
// any. Only an outcome replaces the intent that holds the key: any other state may be
// older than the attempt's release.
func (v *Voter) mergeIntent(received Intent) *Entry {
	holder, own := v.table.lookup(received.Key, received.Attempt)
	switch {
	case holder != nil && holder.State == Completed:
		return nil
	case received.State == Completed:
		entry, err := v.Record(received)
		if err != nil {
			return nil
		}
		return entry
	case own != nil || received.State == Released || v.isObsolete(received):
		return nil
	}
	entry := newEntry(&received)
	if holder != nil {
		entry = Entry{Intent: received, Competing: true}
	}
	if v.Apply(entry) != nil {
		return nil
	}
	return &entry
}

// CountByState returns the number of intents in each state and the age of the oldest
// open one.
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
