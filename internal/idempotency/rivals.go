package idempotency

import "slices"

// A member that rebuilds may find two attempts that reserved the same key on
// different members, and cannot tell which of them the majority granted that it was
// itself counted in. It holds one and keeps the others as rivals: when the one is
// given back, a rival takes its place, so that the key is never free while an
// attempt that may have been delivered is known.

// addRival keeps an intent beside the one that holds the key.
func (t *table) addRival(intent Intent) {
	r := t.at(intent.Key)
	if r.rivals == nil {
		r.rivals = map[Key][]*Intent{}
	}
	r.rivals[intent.Key] = append(r.rivals[intent.Key], &intent)
	r.sum(intent.brief())
}

// rivalOf is the rival of the key that has the attempt, or nil.
func (t *table) rivalOf(key Key, attempt Attempt) *Intent {
	for _, rival := range t.at(key).rivals[key] {
		if rival.Attempt == attempt {
			return rival
		}
	}
	return nil
}

func (t *table) dropRival(rival *Intent) {
	r := t.at(rival.Key)
	rest := slices.DeleteFunc(r.rivals[rival.Key], func(other *Intent) bool { return other == rival })
	r.rivals[rival.Key] = rest
	if len(rest) == 0 {
		delete(r.rivals, rival.Key)
	}
	r.sum(rival.brief())
}

func (t *table) dropRivals(key Key) {
	for _, rival := range slices.Clone(t.at(key).rivals[key]) {
		t.dropRival(rival)
	}
}

// takeRival removes the key's first rival and returns it, or nil.
func (t *table) takeRival(key Key) *Intent {
	rivals := t.at(key).rivals[key]
	if len(rivals) == 0 {
		return nil
	}
	first := rivals[0]
	t.dropRival(first)
	return first
}

// all lists the intents of a range, and the rivals after them.
func (r *keyRange) all() (out []*Intent) {
	out = make([]*Intent, 0, len(r.intents)+len(r.rivals))
	for _, intent := range r.intents {
		out = append(out, intent)
	}
	for _, rivals := range r.rivals {
		out = append(out, rivals...)
	}
	return out
}
