package proxy

import (
	"sync"
	"time"

	"ploverhitch/internal/clock"
)

// responseStats holds moving averages over the responses of one route: latency, its
// deviation, and size.
type responseStats struct {
	lock             sync.Mutex
	meanSeconds      float64
	deviationSeconds float64
	meanBytes        float64
	count            int
	// baseSeconds is the lowest mean seen, drifting up slowly towards the current
	// mean: the latency without overload.
	baseSeconds float64
}

const (
	// statsWeight is the weight of one response in the moving averages.
	statsWeight = 0.05
	// hedgeDeviations is how many deviations above the mean the hedge delay is,
	// hedgeTargetShare its lower bound as a share of the target latency.
	hedgeDeviations  = 4.0
	hedgeTargetShare = 0.35
	// zoneCostMin is the part of the zone cost that does not depend on the size.
	zoneCostMin = 2 * time.Millisecond
	// maxExpectedBytes is the largest size that counts. Servers announce sizes before they
	// send, and one wrong announcement must not decide for hundreds of responses.
	maxExpectedBytes = 64 << 20
	// baseDriftWeight is the part of the distance to the mean that baseSeconds
	// moves up per response.
	baseDriftWeight = 0.0005
)

func (p *proxy) responseStatsOf(route string) *responseStats {
	if known, ok := p.routeStats.Load(route); ok {
		return known.(*responseStats)
	}
	stored, _ := p.routeStats.LoadOrStore(route, &responseStats{})
	return stored.(*responseStats)
}

func (s *responseStats) record(latency time.Duration, bytes int64) {
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
		s.meanBytes += weight * (float64(min(bytes, maxExpectedBytes)) - s.meanBytes)
	}
}

// expectedBytes returns the expected size of a response.
func (s *responseStats) expectedBytes() int64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return int64(s.meanBytes)
}

func (s *responseStats) mean() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.meanSeconds * float64(time.Second))
}

// base returns the latency without overload.
func (s *responseStats) base() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Duration(s.baseSeconds * float64(time.Second))
}

// hedgeDelay is how long the first attempt runs before a second server gets the
// request too: the mean latency and hedgeDeviations deviations, but at least
// hedgeTargetShare of the configured target latency.
func (s *responseStats) hedgeDelay(targetLatency time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	usualMax := time.Duration((s.meanSeconds + hedgeDeviations*s.deviationSeconds) * float64(time.Second))
	return max(usualMax, time.Duration(hedgeTargetShare*float64(targetLatency)), 20*time.Millisecond)
}

// zoneCost is the extra latency that is accepted to keep a request within the zone.
func (s *responseStats) zoneCost(perKB time.Duration) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return zoneCostMin + clock.FromFloat(s.meanBytes/1024*float64(perKB)).Std()
}
