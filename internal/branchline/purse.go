package branchline

import (
	"math"
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// Purse is a node's own side: the lots it was given, and what it has under way.
type Purse struct {
	clock clock.Clock
	lock  sync.Mutex
	lots  map[Key]int
	due   clock.Instant
	uses  map[Key]int
	// turned sums, by service, for how long the inquiries that found no room
	// would have been at work.
	turned map[string]time.Duration
	since  clock.Instant
}

// NewPurse makes an empty purse.
//
// Example:
//
//	purse := branchline.NewPurse(clock)
func NewPurse(clock clock.Clock) *Purse {
	return &Purse{clock: clock, lots: map[Key]int{}, uses: map[Key]int{}, turned: map[string]time.Duration{}, since: clock.Monotonic()}
}

// Take takes the lots that answer a report sent at some time.
//
// Example:
//
//	purse.Take(lots, sentAt)
func (p *Purse) Take(lots []Lot, sentAt clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	due := sentAt + clock.Instant(GrantSpan)
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
//
// Example:
//
//	isOpen := purse.HasRoom("fees", "tvm-b", 1)
func (p *Purse) HasRoom(service, site string, part float64) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.hasRoom(Key{service, site}, part)
}

func (p *Purse) hasRoom(key Key, part float64) bool {
	return p.clock.Monotonic() < p.due && p.uses[key] < int(part*float64(p.lots[key])+1e-9)
}

// Enter takes a place at a site, at the node's own one always, and returns the
// closure that gives it back.
//
// Example:
//
//	leave, isIn := purse.Enter("fees", "tvm-b", "tvm-a", 1)
func (p *Purse) Enter(service, site, own string, part float64) (leave func(), isIn bool) {
	return p.enter(Key{service, site}, site == own, part)
}

// Note takes a place that needs no lot, so that reports tell of it.
//
// Example:
//
//	leave := purse.Note("fees", "tvm-b")
func (p *Purse) Note(service, site string) (leave func()) {
	leave, _ = p.enter(Key{service, site}, true, 1)
	return leave
}

func (p *Purse) enter(key Key, isFree bool, part float64) (leave func(), isIn bool) {
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
//
// Example:
//
//	purse.Turn("fees", 200*time.Millisecond)
func (p *Purse) Turn(service string, usual time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.turned[service] += usual
}

// Uses is what a report says: all that is under way, and how many more places
// could have been used since the last one.
//
// Example:
//
//	report.Uses = purse.Uses()
func (p *Purse) Uses() (out []Use) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for key, count := range p.uses {
		out = append(out, Use{Service: key.Service, Site: key.Site, AtWork: count})
	}
	now := p.clock.Monotonic()
	span := max(time.Duration(now-p.since), time.Millisecond)
	for service, sum := range p.turned {
		out = append(out, Use{Service: service, Wanted: int(math.Ceil(float64(sum) / float64(span)))})
	}
	clear(p.turned)
	p.since = now
	return out
}

// IsShort tells whether inquiries found no room since the last report.
//
// Example:
//
//	if purse.IsShort() { reportSoon() }
func (p *Purse) IsShort() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.turned) > 0
}
