package proxy

import (
	"sync"
	"time"
)

// pace is what the proxy has learnt of one lane's replies: how long they take,
// how much that varies, and how large they are.
type latencyStats struct {
	lock             sync.Mutex
	meanSeconds      float64
	deviationSeconds float64
	meanBytes        float64
	count            int
	// base is the least that the mean was, drifting up slowly: what replies take
	// while nothing is overloaded.
	baseSeconds float64
}

const (
	statsWeight      = 0.05
	hedgeDeviations  = 4.0
	hedgeTargetShare = 0.35
	zoneCostMin      = 2 * time.Millisecond
	baseDriftWeight  = 0.0005
)

func (p *proxy) latencyStatsOf(lane string) *latencyStats {
	if known, isKnown := p.paces.Load(lane); isKnown {
		return known.(*latencyStats)
	}
	made, _ := p.paces.LoadOrStore(lane, &latencyStats{})
	return made.(*latencyStats)
}

func (p *latencyStats) record(took time.Duration, bytes int64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.count++
	weight := max(statsWeight, 1/float64(p.count))
	off := took.Seconds() - p.meanSeconds
	p.meanSeconds += weight * off
	if p.baseSeconds == 0 || p.meanSeconds < p.baseSeconds {
		p.baseSeconds = p.meanSeconds
	}
	p.baseSeconds += baseDriftWeight * (p.meanSeconds - p.baseSeconds)
	p.deviationSeconds += weight * (max(off, -off) - p.deviationSeconds)
	if bytes >= 0 {
		p.meanBytes += weight * (float64(bytes) - p.meanBytes)
	}
}

// size is how large a reply is expected to be.
func (p *latencyStats) expectedBytes() int64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return int64(p.meanBytes)
}

func (p *latencyStats) mean() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Duration(p.meanSeconds * float64(time.Second))
}

// least is what replies take while nothing is overloaded.
func (p *latencyStats) base() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Duration(p.baseSeconds * float64(time.Second))
}

// patience is how long a first try is given before another server is asked
// too: what replies usually take and a wide margin, and never less than a good
// part of what the operator aims at.
func (p *latencyStats) hedgeDelay(aim time.Duration) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	usual := time.Duration((p.meanSeconds + hedgeDeviations*p.deviationSeconds) * float64(time.Second))
	return max(usual, time.Duration(hedgeTargetShare*float64(aim)), 20*time.Millisecond)
}

// crossing is how much delay is borne to keep a reply in the cell.
func (p *latencyStats) zoneCost(perKB time.Duration) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return zoneCostMin + time.Duration(p.meanBytes/1024*float64(perKB))
}
