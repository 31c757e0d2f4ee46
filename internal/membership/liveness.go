package membership

import (
	"time"

	"ploverhitch/internal/timetable"
)

// Term fences a duty: a holder's acts carry its term, and nobody goes below
// the highest term it has seen.
type Term struct {
	Number uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Beat is a heartbeat: what a member tells its watchers about itself and about
// those that it heard itself.
type Heartbeat struct {
	From string `cbor:"1,keyasint"`
	View View   `cbor:"2,keyasint"`
	Term Term   `cbor:"3,keyasint"`
	// Index is that of the sender's item set.
	Index uint64 `cbor:"4,keyasint"`
	// Seen lists those that the sender heard itself, and whether each is fit.
	Seen map[string]bool `cbor:"5,keyasint"`
	// IsFit says that the member is repaired and reaches what the duty needs.
	Eligible bool `cbor:"6,keyasint"`
	// FleetTerm and FleetCount name the reading of the fleet that it has.
	FleetTerm  uint64 `cbor:"7,keyasint"`
	FleetCount uint64 `cbor:"8,keyasint"`
}

// Watch keeps when each member was last heard of. It has one owner.
type LivenessWatch struct {
	clock       timetable.Clock
	silentAfter timetable.Steady
	lastHeard   map[string]timetable.Steady
	eligible    map[string]bool
}

// NewWatch makes a watch that takes a member as gone after so long a silence.
//
// Example:
//
//	watch := membership.NewWatch(clock, 1200*time.Millisecond)
func NewLivenessWatch(clock timetable.Clock, silentAfter time.Duration) *LivenessWatch {
	return &LivenessWatch{clock: clock, silentAfter: timetable.Steady(silentAfter), lastHeard: map[string]timetable.Steady{}, eligible: map[string]bool{}}
}

// Hear notes a heartbeat. Who the sender heard counts as heard, a little less
// recently, so that a watcher elsewhere on the ring is enough.
//
// Example:
//
//	watch.Hear(beat)
func (w *LivenessWatch) Observe(heartbeat Heartbeat) {
	now := w.clock.Steady()
	w.lastHeard[heartbeat.From], w.eligible[heartbeat.From] = now, heartbeat.Eligible
	for member, eligible := range heartbeat.Seen {
		if at, known := w.lastHeard[member]; !known || at < now-w.silentAfter/2 {
			w.lastHeard[member], w.eligible[member] = now-w.silentAfter/2, eligible
		}
	}
}

// Direct lists those that were heard themselves within half the silence.
//
// Example:
//
//	beat.Seen = watch.Direct()
func (w *LivenessWatch) DirectlySeen() map[string]bool {
	now, out := w.clock.Steady(), map[string]bool{}
	for member, at := range w.lastHeard {
		if now-at < w.silentAfter/2 {
			out[member] = w.eligible[member]
		}
	}
	return out
}

// IsLive tells whether the member was heard of within the silence.
//
// Example:
//
//	if !watch.IsLive(holder) { claim() }
func (w *LivenessWatch) IsLive(member string) bool {
	at, known := w.lastHeard[member]
	return known && w.clock.Steady()-at <= w.silentAfter
}

// Silence is how long nothing was heard of the member, since began at most.
//
// Example:
//
//	isLost := watch.Silence(member, began) > span
func (w *LivenessWatch) Silence(member string, since timetable.Steady) time.Duration {
	return time.Duration(w.clock.Steady() - max(w.lastHeard[member], since))
}

// First is the first live and fit member in the agreed order, which is the
// view's; self counts as live.
//
// Example:
//
//	isMine := watch.First(view, self, isFit) == self
func (w *LivenessWatch) Candidate(view View, self string, selfEligible bool) string {
	for _, member := range view.Members {
		if member == self && selfEligible || member != self && w.IsLive(member) && w.eligible[member] {
			return member
		}
	}
	return ""
}
