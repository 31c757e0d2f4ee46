package sites

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/timetable"
)

// Purse is a node's own side: the lots it was given, and what it has under way.
type NodeLeases struct {
	clock     timetable.Clock
	mu        sync.Mutex
	leases    map[Key]int
	expiresAt timetable.Steady
	inFlight  map[Key]int
	// turned sums, by service, for how long the inquiries that found no room
	// would have been at work.
	rejected   map[string]time.Duration
	reportedAt timetable.Steady
}

// NewPurse makes an empty purse.
func NewNodeLeases(clock timetable.Clock) *NodeLeases {
	return &NodeLeases{clock: clock, leases: map[Key]int{}, inFlight: map[Key]int{}, rejected: map[string]time.Duration{}, reportedAt: clock.Steady()}
}

// Take takes the lots that answer a report sent at some time.
func (l *NodeLeases) Apply(leases []Lease, sentAt timetable.Steady) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expiresAt := sentAt + timetable.Steady(LeaseDuration)
	if expiresAt < l.expiresAt {
		return
	}
	l.expiresAt = expiresAt
	clear(l.leases)
	for _, lease := range leases {
		l.leases[Key{lease.Service, lease.Site}] = lease.Slots
	}
}

// HasRoom tells whether one more inquiry may go to another site; part is how
// much of a lot inquiries of its rank may fill.
func (l *NodeLeases) HasSlot(service, site string, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasSlot(Key{service, site}, share)
}

func (l *NodeLeases) hasSlot(key Key, share float64) bool {
	return l.clock.Steady() < l.expiresAt && l.inFlight[key] < int(share*float64(l.leases[key])+1e-9)
}

// Enter takes a place at a site, at the node's own one always, and returns the
// closure that gives it back.
func (l *NodeLeases) Acquire(service, site, localSite string, share float64) (release func(), acquired bool) {
	return l.acquire(Key{service, site}, site == localSite, share)
}

// Note takes a place that needs no lot, so that reports tell of it.
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

// Turn notes an inquiry that found no room and would have been at work so long.
func (l *NodeLeases) RecordRejection(service string, usualLatency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected[service] += usualLatency
}

// Uses is what a report says: all that is under way, and how many more places
// could have been used since the last one.
func (l *NodeLeases) Usages() (usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, count := range l.inFlight {
		usages = append(usages, Usage{Service: key.Service, Site: key.Site, InFlight: count})
	}
	now := l.clock.Steady()
	span := max(time.Duration(now-l.reportedAt), time.Millisecond)
	for service, latency := range l.rejected {
		usages = append(usages, Usage{Service: service, Wanted: int(math.Ceil(float64(latency) / float64(span)))})
	}
	clear(l.rejected)
	l.reportedAt = now
	return usages
}

// IsShort tells whether inquiries found no room since the last report.
func (l *NodeLeases) HasRejections() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rejected) > 0
}
