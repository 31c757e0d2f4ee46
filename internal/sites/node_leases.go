package sites

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/timetable"
)

// Purse is a node's own side: the lots it was given, and what it has under way.
type NodeLeases struct {
	clock timetable.Clock
	lock  sync.Mutex
	lots  map[Key]int
	due   timetable.Steady
	uses  map[Key]int
	// turned sums, by service, for how long the inquiries that found no room
	// would have been at work.
	turned map[string]time.Duration
	since  timetable.Steady
}

// NewPurse makes an empty purse.
func NewNodeLeases(clock timetable.Clock) *NodeLeases {
	return &NodeLeases{clock: clock, lots: map[Key]int{}, uses: map[Key]int{}, turned: map[string]time.Duration{}, since: clock.Steady()}
}

// Take takes the lots that answer a report sent at some time.
func (p *NodeLeases) Apply(lots []Lease, sentAt timetable.Steady) {
	p.lock.Lock()
	defer p.lock.Unlock()
	due := sentAt + timetable.Steady(LeaseDuration)
	if due < p.due {
		return
	}
	p.due = due
	clear(p.lots)
	for _, lot := range lots {
		p.lots[Key{lot.Service, lot.Site}] = lot.Slots
	}
}

// HasRoom tells whether one more inquiry may go to another site; part is how
// much of a lot inquiries of its rank may fill.
func (p *NodeLeases) HasSlot(service, site string, part float64) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.hasRoom(Key{service, site}, part)
}

func (p *NodeLeases) hasRoom(key Key, part float64) bool {
	return p.clock.Steady() < p.due && p.uses[key] < int(part*float64(p.lots[key])+1e-9)
}

// Enter takes a place at a site, at the node's own one always, and returns the
// closure that gives it back.
func (p *NodeLeases) Acquire(service, site, own string, part float64) (leave func(), isIn bool) {
	return p.enter(Key{service, site}, site == own, part)
}

// Note takes a place that needs no lot, so that reports tell of it.
func (p *NodeLeases) AcquireUnleased(service, site string) (leave func()) {
	leave, _ = p.enter(Key{service, site}, true, 1)
	return leave
}

func (p *NodeLeases) enter(key Key, isFree bool, part float64) (leave func(), isIn bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !isFree && !p.hasRoom(key, part) {
		return nil, false
	}
	p.uses[key]++
	return func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		if p.uses[key]--; p.uses[key] <= 0 {
			delete(p.uses, key)
		}
	}, true
}

// Turn notes an inquiry that found no room and would have been at work so long.
func (p *NodeLeases) RecordRejection(service string, usual time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.turned[service] += usual
}

// Uses is what a report says: all that is under way, and how many more places
// could have been used since the last one.
func (p *NodeLeases) Usages() (out []Usage) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for key, count := range p.uses {
		out = append(out, Usage{Service: key.Service, Site: key.Site, InFlight: count})
	}
	now := p.clock.Steady()
	span := max(time.Duration(now-p.since), time.Millisecond)
	for service, sum := range p.turned {
		out = append(out, Usage{Service: service, Wanted: int(math.Ceil(float64(sum) / float64(span)))})
	}
	clear(p.turned)
	p.since = now
	return out
}

// IsShort tells whether inquiries found no room since the last report.
func (p *NodeLeases) HasRejections() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.turned) > 0
}
