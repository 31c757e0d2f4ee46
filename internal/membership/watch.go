package membership

import (
	"time"

	"ploverhitch/internal/clock"
)

// Term fences a duty: a holder's acts carry its term, and nobody goes below
// the highest term it has seen.
type Term struct {
	Number uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Beat is a heartbeat: what a member tells its watchers about itself and about
// those that it heard itself.
type Beat struct {
	From string `cbor:"1,keyasint"`
	View View   `cbor:"2,keyasint"`
	Term Term   `cbor:"3,keyasint"`
	// Index is that of the sender's item set.
	Index uint64 `cbor:"4,keyasint"`
	// Seen lists those that the sender heard itself, and whether each is fit.
	Seen map[string]bool `cbor:"5,keyasint"`
	// IsFit says that the member is repaired and reaches what the duty needs.
	IsFit bool `cbor:"6,keyasint"`
	// FleetTerm and FleetCount name the reading of the fleet that it has.
	FleetTerm  uint64 `cbor:"7,keyasint"`
	FleetCount uint64 `cbor:"8,keyasint"`
}

// Watch keeps when each member was last heard of. It has one owner.
type Watch struct {
	clock clock.Clock
	after clock.Instant
	heard map[string]clock.Instant
	fit   map[string]bool
}

// NewWatch makes a watch that takes a member as gone after so long a silence.
//
// Example:
//
//	watch := membership.NewWatch(clock, 1200*time.Millisecond)
func NewWatch(timeSource clock.Clock, silentAfter time.Duration) *Watch {
	return &Watch{clock: timeSource, after: clock.Instant(silentAfter), heard: map[string]clock.Instant{}, fit: map[string]bool{}}
}

// Hear notes a heartbeat. Who the sender heard counts as heard, a little less
// recently, so that a watcher elsewhere on the ring is enough.
//
// Example:
//
//	watch.Hear(beat)
func (w *Watch) Hear(beat Beat) {
	now := w.clock.Monotonic()
	w.heard[beat.From], w.fit[beat.From] = now, beat.IsFit
	for name, isFit := range beat.Seen {
		if at, isHeard := w.heard[name]; !isHeard || at < now-w.after/2 {
			w.heard[name], w.fit[name] = now-w.after/2, isFit
		}
	}
}

// Direct lists those that were heard themselves within half the silence.
//
// Example:
//
//	beat.Seen = watch.Direct()
func (w *Watch) Direct() map[string]bool {
	now, out := w.clock.Monotonic(), map[string]bool{}
	for name, at := range w.heard {
		if now-at < w.after/2 {
			out[name] = w.fit[name]
		}
	}
	return out
}

// IsLive tells whether the member was heard of within the silence.
//
// Example:
//
//	if !watch.IsLive(holder) { claim() }
func (w *Watch) IsLive(name string) bool {
	at, isHeard := w.heard[name]
	return isHeard && w.clock.Monotonic()-at <= w.after
}

// Silence is how long nothing was heard of the member, since began at most.
//
// Example:
//
//	isLost := watch.Silence(member, began) > span
func (w *Watch) Silence(name string, began clock.Instant) time.Duration {
	return time.Duration(w.clock.Monotonic() - max(w.heard[name], began))
}

// First is the first live and fit member in the agreed order, which is the
// view's; self counts as live.
//
// Example:
//
//	isMine := watch.First(view, self, isFit) == self
func (w *Watch) First(view View, self string, isFit bool) string {
	for _, member := range view.Members {
		if member == self && isFit || member != self && w.IsLive(member) && w.fit[member] {
			return member
		}
	}
	return ""
}
