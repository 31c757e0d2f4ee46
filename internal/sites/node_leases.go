package sites

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// NodeLeases holds the leases granted to a node and its requests in flight by site.
type NodeLeases struct {
	clock     clock.Clock
	mu        sync.Mutex
	leases    map[Key]int
	expiresAt clock.Instant
	inFlight  map[Key]int
	// rejected sums, by service, the usual latencies of the requests that found no
	// slot.
	rejected map[string]time.Duration
	// reportedAt is when the last report was made.
	reportedAt clock.Instant
}

// NewNodeLeases returns an empty set of leases.
func NewNodeLeases(clock clock.Clock) *NodeLeases {
	return &NodeLeases{clock: clock, leases: map[Key]int{}, inFlight: map[Key]int{}, rejected: map[string]time.Duration{}, reportedAt: clock.Monotonic()}
}

// Apply replaces the leases by those in the reply to the report sent at sentAt. Replies
// to earlier reports than the last applied one are ignored.
func (l *NodeLeases) Apply(leases []Lease, sentAt clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expiresAt := sentAt + clock.Instant(LeaseDuration)
	if expiresAt < l.expiresAt {
		return
	}
	l.expiresAt = expiresAt
	clear(l.leases)
	for _, lease := range leases {
		l.leases[Key{lease.Service, lease.Site}] = lease.Slots
	}
}

// HasSlot reports whether another request may go to another site. share is the share of
// a lease that requests of this priority may use.
func (l *NodeLeases) HasSlot(service, site string, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasSlot(Key{service, site}, share)
}

func (l *NodeLeases) hasSlot(key Key, share float64) bool {
	return l.clock.Monotonic() < l.expiresAt && l.inFlight[key] < int(share*float64(l.leases[key])+1e-9)
}

// Acquire takes a slot at a site and returns the function that releases it. A slot at
// the local site is always available.
func (l *NodeLeases) Acquire(service, site, localSite string, share float64) (release func(), acquired bool) {
	return l.acquire(Key{service, site}, site == localSite, share)
}

// AcquireUnleased takes a slot that needs no lease, so that it is reported.
func (l *NodeLeases) AcquireUnleased(service, site string) (release func()) {
	release, _ = l.acquire(Key{service, site}, true, 1)
	return release
}

func (l *NodeLeases) acquire(key Key, unleased bool, share float64) (release func(), acquired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !unleased && !l.hasSlot(key, share) {
		return nil, false
	}
	l.inFlight[key]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.inFlight[key]--; l.inFlight[key] <= 0 {
			delete(l.inFlight, key)
		}
	}, true
}

// RecordRejection records a request that found no slot, with the latency it would have
// had.
func (l *NodeLeases) RecordRejection(service string, usualLatency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected[service] += usualLatency
}

// Usages returns the content of a report: all requests in flight, and how many more
// slots could have been used since the previous report.
func (l *NodeLeases) Usages() (usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, count := range l.inFlight {
		usages = append(usages, Usage{Service: key.Service, Site: key.Site, InFlight: count})
	}
	now := l.clock.Monotonic()
	span := max(time.Duration(now-l.reportedAt), time.Millisecond)
	for service, latency := range l.rejected {
		usages = append(usages, Usage{Service: service, Wanted: int(math.Ceil(float64(latency) / float64(span)))})
	}
	clear(l.rejected)
	l.reportedAt = now
	return usages
}

// HasRejections reports whether requests found no slot since the last report.
func (l *NodeLeases) HasRejections() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rejected) > 0
}
