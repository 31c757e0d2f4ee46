// Package balancer decides where an inquiry goes: the choice of a server, the
// budget of further tries, and admission.
package balancer

import (
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// Budget bounds one node's further tries at one service to a share of its own
// inquiries for it over a sliding window. Each node keeping to its share, the
// sum keeps to it too, with no talk between nodes.
type Budget struct {
	ratio  float64
	floor  func() float64
	step   clock.Instant
	lock   sync.Mutex
	at     int64
	asked  [budgetSteps]float64
	spent  [budgetSteps]float64
	steady func() clock.Instant
}

const (
	// ratioPart is the part of the ratio that a node takes. A further try arrives some
	// hundred milliseconds after it was paid for, so that a window may hold the tries
	// of more inquiries than it holds inquiries.
	ratioPart = 0.85
	// budgetSteps is over how many steps tries and inquiries are counted: a little more
	// than the window.
	budgetSteps = 20
)

const (
	// slackPart is the part of the common slack that all nodes together may take;
	// the rest is for nodes that have started anew and forgotten what they spent.
	slackPart = 0.5
	// proxiesLeast is how many nodes share it at least.
	proxiesLeast = 20
)

// Floor is one node's part of the slack that all nodes have in common.
//
// Example:
//
//	floor := balancer.Floor(bounds.RetrySlack, fleet.Proxies)
func Floor(slack, proxies int) float64 {
	return slackPart * float64(slack) / float64(max(proxiesLeast, proxies))
}

// NewBudget makes a budget; floor is what may be spent whatever was asked.
//
// Example:
//
//	budget := balancer.NewBudget(0.2, 10*time.Second, func() float64 { return balancer.Floor(64, 12) }, clock)
func NewBudget(ratio float64, window time.Duration, floor func() float64, timeSource clock.Clock) *Budget {
	return &Budget{ratio: ratio, floor: floor, step: clock.Instant(window) / (budgetSteps - 1), steady: timeSource.Monotonic}
}

// turn moves to the present step, emptying those that were passed.
func (b *Budget) turn() int {
	now := int64(b.steady() / max(b.step, 1))
	if now-b.at >= budgetSteps {
		b.asked, b.spent = [budgetSteps]float64{}, [budgetSteps]float64{}
		b.at = now
	}
	for b.at < now {
		b.at++
		b.asked[b.at%budgetSteps], b.spent[b.at%budgetSteps] = 0, 0
	}
	return int(now % budgetSteps)
}

// Ask notes an inquiry for the service.
//
// Example:
//
//	budget.Ask()
func (b *Budget) Ask() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.asked[b.turn()]++
}

// Spend takes one further try, if there is one left.
//
// Example:
//
//	if budget.Spend() { tryAgain() }
func (b *Budget) Spend() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	at := b.turn()
	asked, spent := 0.0, 0.0
	for i := range budgetSteps {
		asked, spent = asked+b.asked[i], spent+b.spent[i]
	}
	if spent+1 > asked*b.ratio*ratioPart+b.floor() {
		return false
	}
	b.spent[at]++
	return true
}
