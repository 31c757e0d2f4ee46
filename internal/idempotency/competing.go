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
	for _, rival := range t.rangeFor(key).competing[key] {
		if rival.Attempt == attempt {
			return rival
		}
	}
	return nil
}

func (t *table) removeCompeting(rival *Intent) {
	r := t.rangeFor(rival.Key)
	rest := slices.DeleteFunc(r.competing[rival.Key], func(other *Intent) bool { return other == rival })
	r.competing[rival.Key] = rest
	if len(rest) == 0 {
		delete(r.competing, rival.Key)
	}
	r.toggleDigest(rival.summary())
}

func (t *table) removeAllCompeting(key Key) {
	for _, rival := range slices.Clone(t.rangeFor(key).competing[key]) {
		t.removeCompeting(rival)
	}
}

// takeRival removes the key's first rival and returns it, or nil.
func (t *table) takeCompeting(key Key) *Intent {
	rivals := t.rangeFor(key).competing[key]
	if len(rivals) == 0 {
		return nil
	}
	first := rivals[0]
	t.removeCompeting(first)
	return first
}

// all lists the intents of a range, and the rivals after them.
func (r *keyRange) all() (out []*Intent) {
	out = make([]*Intent, 0, len(r.intents)+len(r.competing))
	for _, intent := range r.intents {
		out = append(out, intent)
	}
	for _, rivals := range r.competing {
		out = append(out, rivals...)
	}
	return out
}
