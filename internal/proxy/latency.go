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

func (s *proxy) latencyStatsOf(route string) *latencyStats {
	if known, ok := s.paces.Load(route); ok {
		return known.(*latencyStats)
	}
	stored, _ := s.paces.LoadOrStore(route, &latencyStats{})
	return stored.(*latencyStats)
}

func (s *latencyStats) record(latency time.Duration, bytes int64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.count++
	weight := max(statsWeight, 1/float64(s.count))
	deviation := latency.Seconds() - s.meanSeconds
	s.meanSeconds += weight * deviation
	if s.baseSeconds == 0 || s.meanSeconds < s.baseSeconds {
		s.baseSeconds = s.meanSeconds
	}
	s.baseSeconds += baseDriftWeight * (s.meanSeconds - s.baseSeconds)
	s.deviationSeconds += weight * (max(deviation, -deviation) - s.deviationSeconds)
	if bytes >= 0 {
		s.meanBytes += weight * (float64(bytes) - s.meanBytes)
	}
}

// size is how large a reply is expected to be.
func (s *latencyStats) expectedBytes() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return int64(s.meanBytes)
}

func (s *latencyStats) mean() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.meanSeconds * float64(time.Second))
}

// least is what replies take while nothing is overloaded.
func (s *latencyStats) base() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.baseSeconds * float64(time.Second))
}

// patience is how long a first try is given before another server is asked
// too: what replies usually take and a wide margin, and never less than a good
// part of what the operator aims at.
func (s *latencyStats) hedgeDelay(targetLatency time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	usualMax := time.Duration((s.meanSeconds + hedgeDeviations*s.deviationSeconds) * float64(time.Second))
	return max(usualMax, time.Duration(hedgeTargetShare*float64(targetLatency)), 20*time.Millisecond)
}

// crossing is how much delay is borne to keep a reply in the cell.
func (s *latencyStats) zoneCost(perKB time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return zoneCostMin + time.Duration(s.meanBytes/1024*float64(perKB))
}
