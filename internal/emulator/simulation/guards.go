package simulation

// Guard is one of the rules on which the safety of the control plane rests.
type Guard string

// The guards that a run can take out, to show that the checks see it.
const (
	// SyncBeforePromise: an acceptor is on disk before its answer is sent.
	SyncBeforePromise Guard = "sync-before-promise"
	// BallotPerLife: a proposer's ballots carry a name that is new in each life.
	BallotPerLife Guard = "ballot-per-life"
	// WaitAfterWipe: a member whose disk was lost waits two vote spans.
	WaitAfterWipe Guard = "wait-after-wipe"
	// TrustedReadSet: only trusted members count in the read set of a rebuild.
	TrustedReadSet Guard = "trusted-read-set"
	// IncarnationCheck: a rebuilt member does not act on its earlier promises.
	IncarnationCheck Guard = "incarnation-check"
	// EpochCheck: a member answers only rounds of its own epoch.
	EpochCheck Guard = "epoch-check"
	// ContentCheck: a version accepted with another content is a conflict.
	ContentCheck Guard = "content-check"
	// AdoptAccepted: a proposer takes over a change that was accepted before.
	AdoptAccepted Guard = "adopt-accepted"
)

// Guards lists them all.
//
// Example:
//
//	for _, guard := range simulation.Guards() { runWithout(guard) }
func Guards() []Guard {
	return []Guard{
		SyncBeforePromise, BallotPerLife, WaitAfterWipe, TrustedReadSet,
		IncarnationCheck, EpochCheck, ContentCheck, AdoptAccepted,
	}
}

// has tells whether the run keeps to the guard.
func (w *world) has(guard Guard) bool { return w.options.Without != guard }
