// Package balancer decides where an inquiry goes: the choice of a server, the
// budget of further tries, and admission.
package balancer

import (
	"sync"
	"time"

	"ploverhitch/internal/timetable"
)

// Budget bounds one node's further tries at one service to a share of its own
// inquiries for it over a sliding window. Each node keeping to its share, the
// sum keeps to it too, with no talk between nodes.
type RetryBudget struct {
	ratio       float64
	minimum     func() float64
	bucketWidth timetable.Steady
	mu          sync.Mutex
	current     int64
	requests    [budgetBuckets]float64
	retries     [budgetBuckets]float64
	now         func() timetable.Steady
}

const (
	// ratioPart is the part of the ratio that a node takes. A further try arrives some
	// hundred milliseconds after it was paid for, so that a window may hold the tries
	// of more inquiries than it holds inquiries.
	usableRatio = 0.85
	// budgetSteps is over how many steps tries and inquiries are counted: a little more
	// than the window.
	budgetBuckets = 20
)

const (
	// slackPart is the part of the common slack that all nodes together may take;
	// the rest is for nodes that have started anew and forgotten what they spent.
	usableSlack = 0.5
	// proxiesLeast is how many nodes share it at least.
	minSlackProxies = 20
)

// Floor is one node's part of the slack that all nodes have in common.
//
// Example:
//
//	floor := balancer.Floor(bounds.RetrySlack, fleet.Proxies)
func SlackPerProxy(slack, proxies int) float64 {
	return usableSlack * float64(slack) / float64(max(minSlackProxies, proxies))
}

// NewBudget makes a budget; floor is what may be spent whatever was asked.
//
// Example:
//
//	budget := balancer.NewBudget(0.2, 10*time.Second, func() float64 { return balancer.Floor(64, 12) }, clock)
func NewRetryBudget(ratio float64, window time.Duration, minimum func() float64, clock timetable.Clock) *RetryBudget {
	return &RetryBudget{ratio: ratio, minimum: minimum, bucketWidth: timetable.Steady(window) / (budgetBuckets - 1), now: clock.Steady}
}

// turn moves to the present step, emptying those that were passed.
func (b *RetryBudget) advance() int {
	now := int64(b.now() / max(b.bucketWidth, 1))
	if now-b.current >= budgetBuckets {
		b.requests, b.retries = [budgetBuckets]float64{}, [budgetBuckets]float64{}
		b.current = now
	}
	for b.current < now {
		b.current++
		b.requests[b.current%budgetBuckets], b.retries[b.current%budgetBuckets] = 0, 0
	}
	return int(now % budgetBuckets)
}

// Ask notes an inquiry for the service.
//
// Example:
//
//	budget.Ask()
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Spend takes one further try, if there is one left.
//
// Example:
//
//	if budget.Spend() { tryAgain() }
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.advance()
	requests, retries := 0.0, 0.0
	for i := range budgetBuckets {
		requests, retries = requests+b.requests[i], retries+b.retries[i]
	}
	if retries+1 > requests*b.ratio*usableRatio+b.minimum() {
		return false
	}
	b.retries[bucket]++
	return true
}
