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
	// averages holds the requests in flight over the time since the last report.
	averages map[Key]*average
	// rejected sums, by service, the usual latencies of the requests that found no
	// slot.
	rejected map[string]time.Duration
	// reportedAt is when the last report was made.
	reportedAt clock.Instant
}

// NewNodeLeases returns an empty set of leases.
func NewNodeLeases(clock clock.Clock) *NodeLeases {
	return &NodeLeases{clock: clock, leases: map[Key]int{}, inFlight: map[Key]int{}, averages: map[Key]*average{}, rejected: map[string]time.Duration{}, reportedAt: clock.Monotonic()}
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
	l.count(key, 1)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.count(key, -1)
	}, true
}

// count changes the number of requests in flight.
func (l *NodeLeases) count(key Key, step int) {
	held := l.averages[key]
	if held == nil {
		held = &average{countedAt: l.reportedAt}
		l.averages[key] = held
	}
	held.add(l.inFlight[key], l.clock.Monotonic())
	if l.inFlight[key] += step; l.inFlight[key] <= 0 {
		delete(l.inFlight, key)
	}
	held.peak = max(held.peak, l.inFlight[key])
}

// average sums a number of requests over the time since the last report.
type average struct {
	countedAt clock.Instant
	sum       time.Duration
	peak      int
}

// add counts a number that held from the last call until now.
func (a *average) add(requests int, now clock.Instant) {
	a.sum += time.Duration(requests) * time.Duration(now-a.countedAt)
	a.countedAt = now
}

// RecordRejection records a request that found no slot, with the latency it would have
// had.
func (l *NodeLeases) RecordRejection(service string, usualLatency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected[service] += usualLatency
}

// Usages returns the content of a report: all requests in flight now and since the
// previous report, and how many more slots could have been used since then.
func (l *NodeLeases) Usages() (usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Monotonic()
	span := max(time.Duration(now-l.reportedAt), time.Millisecond)
	for key, held := range l.averages {
		held.add(l.inFlight[key], now)
		usages = append(usages, Usage{
			Service: key.Service, Site: key.Site, InFlight: l.inFlight[key], Average: float64(held.sum) / float64(span), Peak: held.peak,
		})
	}
	clear(l.averages)
	for key, count := range l.inFlight {
		l.averages[key] = &average{countedAt: now, peak: count}
	}
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
