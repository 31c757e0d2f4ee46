package proxy

import (
	"sync"
	"time"
)

// pace is what the proxy has learnt of one lane's replies: how long they take,
// how much that varies, and how large they are.
type pace struct {
	lock      sync.Mutex
	seconds   float64
	deviation float64
	bytes     float64
	count     int
	// base is the least that the mean was, drifting up slowly: what replies take
	// while nothing is overloaded.
	base float64
}

const (
	paceWeight     = 0.05
	patienceSpread = 4.0
	patienceLeast  = 0.35
	crossingLeast  = 2 * time.Millisecond
	baseDrift      = 0.0005
)

func (p *proxy) paceOf(lane string) *pace {
	if known, isKnown := p.routeStats.Load(lane); isKnown {
		return known.(*pace)
	}
	made, _ := p.routeStats.LoadOrStore(lane, &pace{})
	return made.(*pace)
}

func (p *pace) learn(took time.Duration, bytes int64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.count++
	weight := max(paceWeight, 1/float64(p.count))
	off := took.Seconds() - p.seconds
	p.seconds += weight * off
	if p.base == 0 || p.seconds < p.base {
		p.base = p.seconds
	}
	p.base += baseDrift * (p.seconds - p.base)
	p.deviation += weight * (max(off, -off) - p.deviation)
	if bytes >= 0 {
		p.bytes += weight * (float64(bytes) - p.bytes)
	}
}

// size is how large a reply is expected to be.
func (p *pace) size() int64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return int64(p.bytes)
}

func (p *pace) mean() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Duration(p.seconds * float64(time.Second))
}

// least is what replies take while nothing is overloaded.
func (p *pace) least() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Duration(p.base * float64(time.Second))
}

// patience is how long a first try is given before another server is asked
// too: what replies usually take and a wide margin, and never less than a good
// part of what the operator aims at.
func (p *pace) patience(aim time.Duration) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	usual := time.Duration((p.seconds + patienceSpread*p.deviation) * float64(time.Second))
	return max(usual, time.Duration(patienceLeast*float64(aim)), 20*time.Millisecond)
}

// crossing is how much delay is borne to keep a reply in the cell.
func (p *pace) crossing(perKB time.Duration) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return crossingLeast + time.Duration(p.bytes/1024*float64(perKB))
}
