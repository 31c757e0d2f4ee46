// Package balancer chooses the server of each request and limits retries and the
// requests that a canary version receives.
package balancer

import (
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// RetryBudget limits one node's retries for one service to a ratio of its own requests
// for the service in a sliding window. As every node keeps to its ratio, so does the
// sum, without communication between nodes.
type RetryBudget struct {
	ratio       float64
	minimum     func() float64
	bucketWidth clock.Instant
	mu          sync.Mutex
	current     int64
	requests    [budgetBuckets]float64
	retries     [budgetBuckets]float64
	now         func() clock.Instant
}

const (
	// usableRatio is the part of the ratio that a node uses. A retry arrives some
	// hundred milliseconds after it was granted, so a window may contain the retries of
	// more requests than it contains requests.
	usableRatio = 0.85
	// budgetBuckets is the number of buckets in which requests and retries are counted.
	// Together they span slightly more than the window.
	budgetBuckets = 20
)

const (
	// usableSlack is the part of the common slack that all nodes together may use. The
	// rest is reserved for nodes that restarted and lost count of their retries.
	usableSlack = 0.5
	// minSlackProxies is the lowest number of nodes that the slack is divided by.
	minSlackProxies = 20
)

// SlackPerProxy returns one node's part of the retry slack that all nodes have in
// common.
func SlackPerProxy(slack, proxies int) float64 {
	return usableSlack * float64(slack) / float64(max(minSlackProxies, proxies))
}

// NewRetryBudget returns an empty budget. minimum returns the number of retries per
// window that are allowed regardless of the number of requests.
func NewRetryBudget(ratio float64, window time.Duration, minimum func() float64, timeSource clock.Clock) *RetryBudget {
	return &RetryBudget{ratio: ratio, minimum: minimum, bucketWidth: clock.Instant(window) / (budgetBuckets - 1), now: timeSource.Monotonic}
}

// advance moves to the current bucket, clears the buckets passed on the way and returns
// the current bucket's index.
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

// RecordRequest counts a request for the service.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// TakeRetry reports whether a retry is allowed and counts it if so.
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
