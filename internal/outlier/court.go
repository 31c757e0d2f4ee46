package outlier

import (
	"maps"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

// witness is one life of one proxy, as it reported last.
type witness struct {
	report Report
	at     timetable.Steady
}

// moment is the sum of all rows at some time.
type moment struct {
	at   timetable.Steady
	rows map[Mark]Tally
}

// Court sums reports. It has one owner.
type Court struct {
	clock     timetable.Clock
	witnesses map[string]*witness
	// ended are the rows of lives that are over.
	ended   map[Mark]Tally
	moments []moment
	// bench is where the servers' evidence is kept.
	bench *Bench
}

const (
	// window is the span of the recent past that is judged besides the whole.
	window     = 2500 * time.Millisecond
	momentStep = 250 * time.Millisecond
	// freshSpan is how old a report may be for its proxy to count as in touch.
	freshSpan = 1500 * time.Millisecond
	// forgetSpan is how long the last report of a silent proxy is kept.
	forgetSpan = 2 * time.Minute
)

// NewCourt makes a court without evidence.
//
// Example:
//
//	court := outlier.NewCourt(clock)
func NewCourt(clock timetable.Clock) *Court {
	return &Court{clock: clock, witnesses: map[string]*witness{}, ended: map[Mark]Tally{}, bench: newBench()}
}

// Hear takes a report; one that was taken already has no effect.
//
// Example:
//
//	court.Hear(report)
func (c *Court) Hear(report Report) {
	now := c.clock.Steady()
	held := c.witnesses[report.Node]
	switch {
	case held == nil:
		held = &witness{}
		c.witnesses[report.Node] = held
	case held.report.Life == report.Life && held.report.Number >= report.Number:
		return
	case held.report.Life != report.Life:
		for _, row := range held.report.Rows {
			c.ended[row.Mark] = c.ended[row.Mark].Plus(row.Tally)
		}
	}
	held.report, held.at = report, now
	c.bench.hear(report.Servers, now)
}

// Tend keeps the sliding window; it is called every few hundred milliseconds.
//
// Example:
//
//	court.Tend()
func (c *Court) Tend() {
	now := c.clock.Steady()
	for node, held := range c.witnesses {
		if now-held.at > timetable.Steady(forgetSpan) {
			delete(c.witnesses, node)
		}
	}
	if len(c.moments) > 0 && now-c.moments[len(c.moments)-1].at < timetable.Steady(momentStep) {
		return
	}
	old := 0
	for old+1 < len(c.moments) && now-c.moments[old+1].at >= timetable.Steady(window) {
		old++
	}
	c.moments = append(c.moments[old:], moment{now, c.sums()})
}

func (c *Court) sums() map[Mark]Tally {
	sums := make(map[Mark]Tally, len(c.ended))
	for at, tally := range c.ended {
		sums[at] = tally
	}
	for _, held := range c.witnesses {
		for _, row := range held.report.Rows {
			sums[row.Mark] = sums[row.Mark].Plus(row.Tally)
		}
	}
	return sums
}

// Forget drops the trials of a subject that came before the number.
//
// Example:
//
//	court.Forget(service, number)
func (c *Court) Forget(subject string, number uint64) {
	maps.DeleteFunc(c.ended, func(at Mark, _ Tally) bool { return at.Subject == subject && at.Number < number })
}

// IsFresh tells whether the proxy reported within the span.
//
// Example:
//
//	if !court.IsFresh(node, 2*time.Second) { halt() }
func (c *Court) IsFresh(node string, span time.Duration) bool {
	held := c.witnesses[node]
	return held != nil && time.Duration(c.clock.Steady()-held.at) <= span
}

// Proxies is how many proxies reported within the span.
//
// Example:
//
//	share := limit / court.Proxies(5*time.Second)
func (c *Court) Proxies(span time.Duration) (count int) {
	for node := range c.witnesses {
		if c.IsFresh(node, span) {
			count++
		}
	}
	return count
}

// Lives is the sum over the proxies that reported within the span, each in its
// present life, by the closure that makes a figure of one.
//
// Example:
//
//	lives := court.Lives(2500*time.Millisecond, mirror.IncarnationHash)
func (c *Court) Lives(span time.Duration, figure func(node, life string) uint64) (sum uint64) {
	for node, held := range c.witnesses {
		if c.IsFresh(node, span) {
			sum ^= figure(node, held.report.Life)
		}
	}
	return sum
}

// Touch is what the proxies in touch say of one subject.
type Touch struct {
	// Proxies is how many there are; Behind, how many work by a reading of the
	// fleet that is older than the one asked for.
	Proxies, Behind int
	// AtWork is how many inquiries are under way at the version in force.
	AtWork int
}

// IsLeft tells whether no proxy in touch has anything under way at the version
// in force, or could still send it something.
//
// Example:
//
//	if touch.IsLeft() { stopOldServers() }
func (t Touch) IsLeft() bool { return t.Proxies > 0 && t.Behind == 0 && t.AtWork == 0 }

// Touch looks at the proxies that reported a short while ago.
//
// Example:
//
//	isLeft := court.Touch(service, reading).AtWork == 0
func (c *Court) Touch(subject string, reading feed.Reading) (out Touch) {
	now := c.clock.Steady()
	for _, held := range c.witnesses {
		if now-held.at > timetable.Steady(freshSpan) {
			continue
		}
		out.Proxies++
		if reading.Outranks(feed.Reading{Term: held.report.Term, Count: held.report.Count}) {
			out.Behind++
		}
		for _, work := range held.report.Works {
			if work.Subject == subject {
				out.AtWork += work.AtWork
			}
		}
	}
	return out
}
