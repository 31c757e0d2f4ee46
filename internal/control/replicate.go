package control

import (
	"context"
	"sync"
	"time"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
)

const (
	// compareInterval is how often a trusted member compares its intents with those of
	// another member.
	compareInterval = time.Second
	// compareDelay is how long a difference must last before it is copied.
	compareDelay = 400 * time.Millisecond
	// copyPause separates two chunks, so that votes and records take precedence.
	copyPause = 50 * time.Millisecond
)

// replicationLag records, per member, how many of that member's intents this node
// lacked at the last comparison.
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

// largest returns the largest count among the members of the view.
func (l *replicationLag) largest(view membership.View) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, member := range view.Members {
		count = max(count, l.missing[member])
	}
	return count
}

// replicateIntents compares the intents with those of the other members in turn and
// copies those that are missing here, so that a record held by a bare majority soon
// reaches every member.
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
		if !trusted || !view.Contains(n.self) || len(others) == 0 {
			continue
		}
		next++
		n.copyOutcomes(others[next%len(others)], view.Epoch)
	}
}

// copyOutcomes copies the outcomes that another member holds and this one lacks. It
// pauses between chunks, as this member is serving votes meanwhile.
func (n *node) copyOutcomes(member string, epoch membership.Epoch) {
	missing, err := n.copyIntents(member, epoch, copyMode{minDifferenceAge: compareDelay, pause: copyPause, scope: idempotency.CompletedIntents})
	if err != nil {
		n.log("debug", "cannot compare intents", "member", member, "error", err)
		return
	}
	n.lag.set(member, missing)
	if missing > 0 {
		n.log("info", "copied missing intents", "member", member, "count", missing)
	}
}
