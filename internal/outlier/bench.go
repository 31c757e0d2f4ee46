package outlier

import (
	"math"
	"time"

	"ploverhitch/internal/clock"
)

// stand is what is known of one server: counts that fade, and whether it is set
// aside.
type stand struct {
	seen, bad float64
	// tried and strained are the tries that ended, and those turned away or late.
	tried, strained float64
	at              clock.Instant
	// paces and paced are the sum and the number of the paces; told is the pace
	// last told, in eighths, and when.
	paces, paced float64
	told         int
	toldAt       clock.Instant
	// asideAt is since when it is set aside, times how often.
	asideAt clock.Instant
	times   int
	isAside bool
}

// Bench keeps the evidence of single servers.
type Bench struct{ stands map[string]*stand }

func newBench() *Bench { return &Bench{stands: map[string]*stand{}} }

const (
	// fade is how long it takes for a count to weigh half as much.
	fade = 4 * time.Second
	// asideFirst is how long a server is set aside at first; each time longer.
	asideFirst   = 4 * time.Second
	asideLongest = 32 * time.Second
	// asidePart is the part of a service's servers that may be set aside.
	asidePart = 0.25
	benchSeen = 6
	benchBad  = 0.2
	benchOdds = 4
)

func (b *Bench) hear(rows []ServerRow, now clock.Instant) {
	for _, row := range rows {
		s := b.stands[row.ID]
		if s == nil {
			s = &stand{at: now}
			b.stands[row.ID] = s
		}
		weight := math.Exp2(-float64(now-s.at) / float64(fade))
		s.seen, s.bad, s.at = s.seen*weight, s.bad*weight, now
		s.paces, s.paced = s.paces*weight+float64(row.Paces), s.paced*weight+float64(row.Paced)
		s.tried, s.strained = s.tried*weight+float64(row.Tried), s.strained*weight+float64(row.Strained)
		s.seen += float64(row.Tally.Sum())
		s.bad += float64(row.Tally[Failed] + row.Tally[Broken])
	}
}

// Aside names the servers of one group (of one service and version) that are
// to be set aside: those that fail far more often than the others of the group,
// and never more than a part of it.
//
// Example:
//
//	aside := court.Aside(ids)
func (c *Court) Aside(group []string) map[string]bool {
	now := c.clock.Monotonic()
	seen, bad := 0.0, 0.0
	for _, id := range group {
		if s := c.bench.stands[id]; s != nil {
			seen, bad = seen+s.seen, bad+s.bad
		}
	}
	out := map[string]bool{}
	room := int(asidePart * float64(len(group)))
	for _, id := range group {
		s := c.bench.stands[id]
		if s == nil {
			continue
		}
		others := 0.0
		if seen > s.seen {
			others = (bad - s.bad) / (seen - s.seen)
		}
		isBad := s.seen >= benchSeen && s.bad/s.seen > max(benchBad, benchOdds*others)
		length := min(asideLongest, asideFirst<<min(max(s.times-1, 0), 3))
		switch {
		case isBad && !s.isAside:
			s.isAside, s.asideAt = true, now
			s.times++
		case s.isAside && !isBad && time.Duration(now-s.asideAt) > length:
			s.isAside = false
		}
		if s.isAside && len(out) < room {
			out[id] = true
		}
	}
	return out
}

const (
	// paceSeen is how many replies show a pace, paceStep by how much, and paceRest
	// after how long at least, it must have changed to be told anew.
	paceSeen = 6
	paceStep = 0.15
	paceRest = 1500 * time.Millisecond
)

// Pace is how long a server's replies take beside those of others, in eighths;
// 0 while too few were seen. It is told in steps, so that news stay few.
//
// Example:
//
//	server.Pace = court.Pace(server.ID) // 8 is usual, 16 twice as long
func (c *Court) Pace(id string) int {
	s, now := c.bench.stands[id], c.clock.Monotonic()
	if s == nil {
		return 0
	}
	if s.paced < paceSeen || s.told > 0 && time.Duration(now-s.toldAt) < paceRest {
		return s.told
	}
	pace := max(1, int(math.Round(8*s.paces/s.paced)))
	if change := math.Abs(float64(pace - s.told)); s.told == 0 || change > max(1, paceStep*float64(s.told)) {
		s.told, s.toldAt = pace, now
	}
	return s.told
}

// strainedPart is the part of its tries above which a server is strained, and
// triedLeast how much it must have been tried for that.
const (
	strainedPart = 0.1
	triedLeast   = 1
)

// Strained is the part of a group's servers, of those tried lately, that turned
// inquiries away or were late with them.
//
// Example:
//
//	isWide := court.Strained(ids) >= 0.5
func (c *Court) Strained(group []string) float64 {
	tried, strained, now := 0, 0, c.clock.Monotonic()
	for _, id := range group {
		s := c.bench.stands[id]
		if s == nil || s.tried*math.Exp2(-float64(now-s.at)/float64(fade)) < triedLeast {
			continue
		}
		if tried++; s.strained > strainedPart*s.tried {
			strained++
		}
	}
	return float64(strained) / float64(max(1, tried))
}

// Keep forgets the servers that are no longer listed.
//
// Example:
//
//	court.Keep(func(id string) bool { return isListed[id] })
func (c *Court) Keep(isListed func(id string) bool) {
	for id := range c.bench.stands {
		if !isListed(id) {
			delete(c.bench.stands, id)
		}
	}
}
