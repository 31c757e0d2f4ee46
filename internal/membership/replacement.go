package membership

import "time"

// Replaceable decides whether the leader may change the view, and which member it replaces:
// the one that has been silent for longest, and for longer than the given time. The result
// is empty if no member has.
//
// The view may not change while a live member of it is being rebuilt or has not been heard
// from since it joined. A rebuild reads what enough other members hold, so that each
// further change leaves less to rebuild from: a view that changes faster than its newcomers
// are rebuilt ends with too few members that can vote.
func (w *LivenessWatch) Replaceable(view View, self string, after time.Duration) (lost string, mayChange bool) {
	longest := after
	for _, member := range view.Members {
		if member == self {
			continue
		}
		silence := w.silence(member)
		if silence <= after && w.isUnready(member) {
			return "", false
		}
		if silence > longest {
			lost, longest = member, silence
		}
	}
	return lost, true
}

// silence returns the time since the member was last heard from or began to be watched.
func (w *LivenessWatch) silence(member string) time.Duration {
	now := w.clock.Monotonic()
	since, watched := w.watchedSince[member]
	if !watched {
		return 0
	}
	return time.Duration(now - max(w.lastHeard[member], since))
}

// isUnready reports whether a member is being rebuilt or has not been heard from since it
// joined the view.
func (w *LivenessWatch) isUnready(member string) bool {
	since, watched := w.watchedSince[member]
	heard, known := w.lastHeard[member]
	return w.rebuilding[member] || !watched || !known || heard < since
}
