package membership

import (
	"time"

	"ploverhitch/internal/clock"
)

// Term fences leadership: every request of the leader carries its term, and a member
// rejects terms lower than the highest it has seen. Holder is the leader's address.
type Term struct {
	Number uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Heartbeat carries a member's own state and the members that it heard from directly.
type Heartbeat struct {
	From string `cbor:"1,keyasint"`
	View View   `cbor:"2,keyasint"`
	Term Term   `cbor:"3,keyasint"`
	// Index is the index of the sender's configuration.
	Index uint64 `cbor:"4,keyasint"`
	// Seen maps each member that the sender heard from directly to its eligibility.
	Seen map[string]bool `cbor:"5,keyasint"`
	// Eligible is true if the member is repaired and reaches what a leader needs.
	Eligible bool `cbor:"6,keyasint"`
	// FleetTerm and FleetCount identify the sender's version of the fleet state.
	FleetTerm  uint64 `cbor:"7,keyasint"`
	FleetCount uint64 `cbor:"8,keyasint"`
	// Rebuilding is true if the member does not vote yet, because its state was lost, is
	// out of date or has not been read from the others.
	Rebuilding bool `cbor:"9,keyasint,omitempty"`
}

// LivenessWatch records when each member was last heard from. It is not safe for
// concurrent use.
type LivenessWatch struct {
	clock       clock.Clock
	silentAfter clock.Instant
	lastHeard   map[string]clock.Instant
	eligible    map[string]bool
	rebuilding  map[string]bool
	// watchedSince is when each member of the view began to be watched, and followedAt
	// when Follow was last called.
	watchedSince map[string]clock.Instant
	followedAt   clock.Instant
}

// NewLivenessWatch returns a LivenessWatch that regards a member as failed after
// silentAfter without a heartbeat.
func NewLivenessWatch(timeSource clock.Clock, silentAfter time.Duration) *LivenessWatch {
	return &LivenessWatch{
		clock: timeSource, silentAfter: clock.Instant(silentAfter), lastHeard: map[string]clock.Instant{}, eligible: map[string]bool{},
		rebuilding: map[string]bool{}, watchedSince: map[string]clock.Instant{}, followedAt: timeSource.Monotonic(),
	}
}

// Follow is called with the present view at each heartbeat of this node. The silence of a
// member counts from when it joined the view, as it sent nothing before, and starts anew
// after this process has not run for a while, as it heard nothing then.
func (w *LivenessWatch) Follow(view View) {
	now, watched := w.clock.Monotonic(), map[string]clock.Instant{}
	paused := now-w.followedAt > w.silentAfter
	for _, member := range view.Members {
		since, known := w.watchedSince[member]
		if !known || paused {
			since = now
		}
		watched[member] = since
	}
	w.watchedSince, w.followedAt = watched, now
}

// Observe records a heartbeat. Members in its Seen map count as heard from half the
// silence limit ago, so a member stays live while any ring successor receives its
// heartbeats.
func (w *LivenessWatch) Observe(heartbeat Heartbeat) {
	now := w.clock.Monotonic()
	w.lastHeard[heartbeat.From], w.eligible[heartbeat.From] = now, heartbeat.Eligible
	w.rebuilding[heartbeat.From] = heartbeat.Rebuilding
	for member, eligible := range heartbeat.Seen {
		if at, known := w.lastHeard[member]; !known || at < now-w.silentAfter/2 {
			w.lastHeard[member], w.eligible[member] = now-w.silentAfter/2, eligible
		}
	}
}

// DirectlySeen returns the members heard from within half the silence limit, and
// whether each is eligible for leadership. Members known only through another
// member's heartbeat are older than that.
func (w *LivenessWatch) DirectlySeen() map[string]bool {
	now, out := w.clock.Monotonic(), map[string]bool{}
	for member, at := range w.lastHeard {
		if now-at < w.silentAfter/2 {
			out[member] = w.eligible[member]
		}
	}
	return out
}

// IsLive reports whether the member was heard from within the silence limit.
func (w *LivenessWatch) IsLive(member string) bool {
	at, known := w.lastHeard[member]
	return known && w.clock.Monotonic()-at <= w.silentAfter
}

// Candidate returns the first live and eligible member in the order of the view, or
// an empty string if there is none. self counts as live.
func (w *LivenessWatch) Candidate(view View, self string, selfEligible bool) string {
	for _, member := range view.Members {
		if member == self && selfEligible || member != self && w.IsLive(member) && w.eligible[member] {
			return member
		}
	}
	return ""
}
