package outlier

import (
	"math"
	"time"

	"ploverhitch/internal/clock"
)

// serverStats holds what is known of one server: counts with exponential decay, and
// whether the server is ejected.
type serverStats struct {
	total, failed float64
	// attempts are the finished attempts, overloaded those that were rejected or late.
	attempts, overloaded float64
	updatedAt            clock.Instant
	// latencyRatioSum and latencySamples are the sum and the number of the latency
	// ratios; published is the last published ratio, in eighths.
	latencyRatioSum, latencySamples float64
	published                       int
	publishedAt                     clock.Instant
	// ejectedAt is the time of the last ejection, ejections the number of ejections.
	ejectedAt clock.Instant
	ejections int
	ejected   bool
}

// ServerHealth holds the statistics of single servers.
type ServerHealth struct{ servers map[string]*serverStats }

func newServerHealth() *ServerHealth { return &ServerHealth{servers: map[string]*serverStats{}} }

const (
	// halfLife is the time after which a count weighs half as much.
	halfLife = 4 * time.Second
	// minEjection is the duration of a server's first ejection. Each further ejection
	// lasts longer, up to maxEjection.
	minEjection = 4 * time.Second
	maxEjection = 32 * time.Second
	// maxEjectedShare is the share of a group's servers that may be ejected.
	maxEjectedShare    = 0.25
	ejectionMinTotal   = 6
	ejectionMinRate    = 0.2
	ejectionRateFactor = 4
)

func (h *ServerHealth) add(rows []ServerCounts, now clock.Instant) {
	for _, row := range rows {
		s := h.servers[row.ID]
		if s == nil {
			s = &serverStats{updatedAt: now}
			h.servers[row.ID] = s
		}
		weight := math.Exp2(-float64(now-s.updatedAt) / float64(halfLife))
		s.total, s.failed, s.updatedAt = s.total*weight, s.failed*weight, now
		s.latencyRatioSum, s.latencySamples = s.latencyRatioSum*weight+float64(row.LatencyRatioSum), s.latencySamples*weight+float64(row.LatencySamples)
		s.attempts, s.overloaded = s.attempts*weight+float64(row.Attempts), s.overloaded*weight+float64(row.Overloaded)
		s.total += float64(row.Counts.Total())
		s.failed += float64(row.Counts[Failed] + row.Counts[Broken])
	}
}

// Ejected returns the servers of one group (of one service and version) that are
// ejected as outliers: those that fail far more often than the others of the group. It
// ejects at most maxEjectedShare of the group.
func (a *Aggregator) Ejected(group []string) map[string]bool {
	now := a.clock.Monotonic()
	total, failed := 0.0, 0.0
	for _, id := range group {
		if s := a.health.servers[id]; s != nil {
			total, failed = total+s.total, failed+s.failed
		}
	}
	ejected := map[string]bool{}
	maxEjected := int(maxEjectedShare * float64(len(group)))
	for _, id := range group {
		s := a.health.servers[id]
		if s == nil {
			continue
		}
		othersRate := 0.0
		if total > s.total {
			othersRate = (failed - s.failed) / (total - s.total)
		}
		outlying := s.total >= ejectionMinTotal && s.failed/s.total > max(ejectionMinRate, ejectionRateFactor*othersRate)
		duration := min(maxEjection, minEjection<<min(max(s.ejections-1, 0), 3))
		switch {
		case outlying && !s.ejected:
			s.ejected, s.ejectedAt = true, now
			s.ejections++
		case s.ejected && !outlying && time.Duration(now-s.ejectedAt) > duration:
			s.ejected = false
		}
		if s.ejected && len(ejected) < maxEjected {
			ejected[id] = true
		}
	}
	return ejected
}

const (
	// latencyMinSamples is the number of responses required for a ratio. A published
	// ratio is replaced only if it changed by more than latencyMinChange, and not
	// before latencyMinInterval has passed.
	latencyMinSamples  = 6
	latencyMinChange   = 0.15
	latencyMinInterval = 1500 * time.Millisecond
)

// LatencyRatio returns the ratio of a server's latency to the usual latency, in
// eighths: 8 is usual, 16 is twice as long, and 0 means too few samples. It changes in
// steps to keep fleet updates rare.
func (a *Aggregator) LatencyRatio(id string) int {
	s, now := a.health.servers[id], a.clock.Monotonic()
	if s == nil {
		return 0
	}
	if s.latencySamples < latencyMinSamples || s.published > 0 && time.Duration(now-s.publishedAt) < latencyMinInterval {
		return s.published
	}
	ratio := max(1, int(math.Round(8*s.latencyRatioSum/s.latencySamples)))
	if change := math.Abs(float64(ratio - s.published)); s.published == 0 || change > max(1, latencyMinChange*float64(s.published)) {
		s.published, s.publishedAt = ratio, now
	}
	return s.published
}

// overloadedRate is the rate of rejected or late attempts above which a server counts
// as overloaded, overloadMinAttempts the number of recent attempts required for that.
const (
	overloadedRate      = 0.1
	overloadMinAttempts = 1
)

// OverloadedShare returns the share of overloaded servers among the servers of the
// group that had recent attempts.
func (a *Aggregator) OverloadedShare(group []string) float64 {
	attempted, overloaded, now := 0, 0, a.clock.Monotonic()
	for _, id := range group {
		s := a.health.servers[id]
		if s == nil || s.attempts*math.Exp2(-float64(now-s.updatedAt)/float64(halfLife)) < overloadMinAttempts {
			continue
		}
		if attempted++; s.overloaded > overloadedRate*s.attempts {
			overloaded++
		}
	}
	return float64(overloaded) / float64(max(1, attempted))
}

// RetainServers discards the statistics of servers that are no longer listed.
func (a *Aggregator) RetainServers(listed func(id string) bool) {
	for id := range a.health.servers {
		if !listed(id) {
			delete(a.health.servers, id)
		}
	}
}
