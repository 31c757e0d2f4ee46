package outlier

import (
	"math"
	"time"

	"ploverhitch/internal/timetable"
)

// stand is what is known of one server: counts that fade, and whether it is set
// aside.
type serverStats struct {
	total, failed float64
	// tried and strained are the tries that ended, and those turned away or late.
	attempts, overloaded float64
	updatedAt            timetable.Steady
	// paces and paced are the sum and the number of the paces; told is the pace
	// last told, in eighths, and when.
	latencyRatioSum, latencySamples float64
	published                       int
	publishedAt                     timetable.Steady
	// asideAt is since when it is set aside, times how often.
	ejectedAt timetable.Steady
	ejections int
	ejected   bool
}

// Bench keeps the evidence of single servers.
type ServerHealth struct{ servers map[string]*serverStats }

func newServerHealth() *ServerHealth { return &ServerHealth{servers: map[string]*serverStats{}} }

const (
	// fade is how long it takes for a count to weigh half as much.
	halfLife = 4 * time.Second
	// asideFirst is how long a server is set aside at first; each time longer.
	minEjection = 4 * time.Second
	maxEjection = 32 * time.Second
	// asidePart is the part of a service's servers that may be set aside.
	maxEjectedShare    = 0.25
	ejectionMinTotal   = 6
	ejectionMinRate    = 0.2
	ejectionRateFactor = 4
)

func (h *ServerHealth) add(rows []ServerCounts, now timetable.Steady) {
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

// Aside names the servers of one group (of one service and version) that are
// to be set aside: those that fail far more often than the others of the group,
// and never more than a part of it.
func (a *Aggregator) Ejected(group []string) map[string]bool {
	now := a.clock.Steady()
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
	// paceSeen is how many replies show a pace, paceStep by how much, and paceRest
	// after how long at least, it must have changed to be told anew.
	latencyMinSamples  = 6
	latencyMinChange   = 0.15
	latencyMinInterval = 1500 * time.Millisecond
)

// Pace is how long a server's replies take beside those of others, in eighths;
// 0 while too few were seen. It is told in steps, so that news stay few.
func (a *Aggregator) LatencyRatio(id string) int {
	s, now := a.health.servers[id], a.clock.Steady()
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

// strainedPart is the part of its tries above which a server is strained, and
// triedLeast how much it must have been tried for that.
const (
	overloadedRate      = 0.1
	overloadMinAttempts = 1
)

// Strained is the part of a group's servers, of those tried lately, that turned
// inquiries away or were late with them.
func (a *Aggregator) OverloadedShare(group []string) float64 {
	attempted, overloaded, now := 0, 0, a.clock.Steady()
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

// Keep forgets the servers that are no longer listed.
func (a *Aggregator) RetainServers(listed func(id string) bool) {
	for id := range a.health.servers {
		if !listed(id) {
			delete(a.health.servers, id)
		}
	}
}
