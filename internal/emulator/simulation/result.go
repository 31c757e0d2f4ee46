package simulation

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Result is what a run came to.
type Result struct {
	Options Options
	// Violation is the first invariant that was broken, or nil.
	Violation *Violation
	// Latencies are the virtual times from an order to its acknowledgement.
	Latencies []Time
	// Changes is how many changes were decided, Views how many views, Runs how
	// many keyed operations ran, Operations how many calls the clients made.
	Changes, Views, Runs, Operations int
	// IsUndetermined says that the check of the history took too long.
	IsUndetermined bool
	// Digest is the same for two runs that went the same way.
	Digest uint64
}

func (w *world) result() Result {
	result := Result{
		Options: w.options, Violation: w.checks.err, Latencies: w.history.latencies(),
		Changes: int(w.checks.highest), Views: len(w.checks.views), Runs: len(w.checks.runs),
		Operations: len(w.history.operations), IsUndetermined: w.history.isUndetermined,
	}
	digest := xxhash.New()
	for _, o := range w.history.operations {
		_, _ = fmt.Fprintln(digest, o.client, o.call, o.answered, o.isAnswered, o.isDropped, o.input, o.output)
	}
	_, _ = fmt.Fprintln(digest, w.Sequence, w.Now)
	result.Digest = digest.Sum64()
	return result
}
