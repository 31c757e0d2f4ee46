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
	comparePeriod = time.Second
	// compareSettle is how long a difference must last before it is copied.
	compareSettle = 400 * time.Millisecond
	// copyRest lies between two pieces, so that votes and records come first.
	copyRest = 50 * time.Millisecond
)

// lag is how many intents each of the other members held, when they were compared
// last, that this one lacked.
type lag struct {
	lock   sync.Mutex
	counts map[string]int
}

func (l *lag) set(member string, count int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[member] = count
}

// most is the largest count of the members of the view.
func (l *lag) most(view membership.View) (count int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, member := range view.Members {
		count = max(count, l.counts[member])
	}
	return count
}

// replicate compares the intents with those of one other member after the other and
// copies what this one lacks, so that a record that a bare majority holds is soon on
// every member.
func (n *node) replicate(ctx context.Context) {
	turn := 0
	ticker := time.NewTicker(comparePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var view membership.View
		isTrusted := false
		n.store.read(func(t *tables) { view, isTrusted = t.view, t.isTrusted })
		others := view.Others(n.self)
		if !isTrusted || !view.Has(n.self) || len(others) == 0 {
			continue
		}
		turn++
		n.copyOutcomes(others[turn%len(others)], view.Epoch)
	}
}

// copyOutcomes copies what another member holds and this one lacks, at the pace of a
// member that has votes to give.
func (n *node) copyOutcomes(member string, epoch membership.Epoch) {
	lacking, err := n.copyIntents(member, epoch, copyMode{settle: compareSettle, rest: copyRest, scope: idempotency.CompletedIntents})
	if err != nil {
		n.note("debug", "compare", "member", member, "error", err)
		return
	}
	n.lag.set(member, lacking)
	if lacking > 0 {
		n.note("info", "copied intents that were lacking", "member", member, "count", lacking)
	}
}
