package idempotency

import "slices"

// A member that rebuilds may find two attempts that reserved the same key on
// different members, and cannot tell which of them the majority granted that it was
// itself counted in. It holds one and keeps the others as rivals: when the one is
// given back, a rival takes its place, so that the key is never free while an
// attempt that may have been delivered is known.

// addRival keeps an intent beside the one that holds the key.
func (t *table) addCompeting(intent Intent) {
	r := t.rangeFor(intent.Key)
	if r.competing == nil {
		r.competing = map[Key][]*Intent{}
	}
	r.competing[intent.Key] = append(r.competing[intent.Key], &intent)
	r.toggleDigest(intent.summary())
}

// rivalOf is the rival of the key that has the attempt, or nil.
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

// takeRival removes the key's first rival and returns it, or nil.
func (t *table) takeCompeting(key Key) *Intent {
	competing := t.rangeFor(key).competing[key]
	if len(competing) == 0 {
		return nil
	}
	first := competing[0]
	t.removeCompeting(first)
	return first
}

// all lists the intents of a range, and the rivals after them.
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
