package control

import (
	"context"
	"sync"
	"time"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
)

const (
	// comparePeriod is how often a trusted member compares its intents with another.
	compareInterval = time.Second
	// compareSettle is how long a difference must last before it is copied.
	compareDelay = 400 * time.Millisecond
	// copyRest lies between two pieces, so that votes and records come first.
	copyPause = 50 * time.Millisecond
)

// lag is how many intents each of the other members held, when they were compared
// last, that this one lacked.
type replicationLag struct {
	mu      sync.Mutex
	missing map[string]int
}

func (l *replicationLag) set(member string, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missing == nil {
		l.missing = map[string]int{}
	}
	l.missing[member] = count
}

// most is the largest count of the members of the view.
func (l *replicationLag) largest(view membership.View) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, member := range view.Members {
		count = max(count, l.missing[member])
	}
	return count
}

// replicate compares the intents with those of one other member after the other and
// copies what this one lacks, so that a record that a bare majority holds is soon on
// every member.
func (n *node) replicateIntents(ctx context.Context) {
	next := 0
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var view membership.View
		trusted := false
		n.store.read(func(t *tables) { view, trusted = t.view, t.trusted })
		others := view.Others(n.self)
		if !trusted || !view.Has(n.self) || len(others) == 0 {
			continue
		}
		next++
		n.copyOutcomes(others[next%len(others)], view.Epoch)
	}
}

// copyOutcomes copies what another member holds and this one lacks, at the pace of a
// member that has votes to give.
func (n *node) copyOutcomes(member string, epoch membership.Epoch) {
	missing, err := n.copyIntents(member, epoch, copyMode{settle: compareDelay, rest: copyPause, scope: idempotency.Outcomes})
	if err != nil {
		n.log("debug", "compare", "member", member, "error", err)
		return
	}
	n.lag.set(member, missing)
	if missing > 0 {
		n.log("info", "copied intents that were lacking", "member", member, "count", missing)
	}
}
