package idempotency

import "slices"

// A member may know of several attempts for one key: a rebuild finds the votes of different
// members, and a record arrives of an attempt for which this member did not vote. It cannot
// tell which of them had a majority: a record that says so may be older than the attempt's
// release. One intent holds the key and the others are kept as competing intents. When the
// holder is released, a competing intent takes its place, so that a key is never free
// while an attempt that may have been delivered is known.

// lookup returns the intent that holds the key, and what is stored of the given attempt, as
// the holder or as a competing intent. Each is nil if there is none.
func (t *table) lookup(key Key, attempt Attempt) (holder, own *Intent) {
	holder = t.find(key)
	if holder != nil && holder.Attempt == attempt {
		return holder, holder
	}
	return holder, t.findCompeting(key, attempt)
}

// putCompeting stores an intent that competes with the one that holds the key, replacing
// an earlier state of the same attempt.
func (t *table) putCompeting(intent Intent) {
	if earlier := t.findCompeting(intent.Key, intent.Attempt); earlier != nil {
		t.removeCompeting(earlier)
	}
	r := t.rangeFor(intent.Key)
	if r.competing == nil {
		r.competing = map[Key][]*Intent{}
	}
	r.competing[intent.Key] = append(r.competing[intent.Key], &intent)
	r.toggleDigest(intent.summary())
}

// findCompeting returns the competing intent of an attempt for the key, or nil.
func (t *table) findCompeting(key Key, attempt Attempt) *Intent {
	for _, competing := range t.rangeFor(key).competing[key] {
		if competing.Attempt == attempt {
			return competing
		}
	}
	return nil
}

func (t *table) removeCompeting(competing *Intent) {
	r := t.rangeFor(competing.Key)
	remaining := slices.DeleteFunc(r.competing[competing.Key], func(other *Intent) bool { return other == competing })
	r.competing[competing.Key] = remaining
	if len(remaining) == 0 {
		delete(r.competing, competing.Key)
	}
	r.toggleDigest(competing.summary())
}

func (t *table) removeAllCompeting(key Key) {
	for _, competing := range slices.Clone(t.rangeFor(key).competing[key]) {
		t.removeCompeting(competing)
	}
}

// takeCompeting removes and returns the first competing intent for the key, or nil.
func (t *table) takeCompeting(key Key) *Intent {
	competing := t.rangeFor(key).competing[key]
	if len(competing) == 0 {
		return nil
	}
	first := competing[0]
	t.removeCompeting(first)
	return first
}

// all returns the intents of a range, followed by the competing ones.
func (r *keyRange) all() (intents []*Intent) {
	intents = make([]*Intent, 0, len(r.intents)+len(r.competing))
	for _, intent := range r.intents {
		intents = append(intents, intent)
	}
	for _, competing := range r.competing {
		intents = append(intents, competing...)
	}
	return intents
}
