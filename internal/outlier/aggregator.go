package outlier

import (
	"maps"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

// witness is one life of one proxy, as it reported last.
type proxyReport struct {
	report     Report
	receivedAt timetable.Steady
}

// moment is the sum of all rows at some time.
type windowSample struct {
	at   timetable.Steady
	rows map[Label]Counts
}

// Court sums reports. It has one owner.
type Aggregator struct {
	clock   timetable.Clock
	proxies map[string]*proxyReport
	// ended are the rows of lives that are over.
	ended   map[Label]Counts
	samples []windowSample
	// bench is where the servers' evidence is kept.
	health *ServerHealth
}

const (
	// window is the span of the recent past that is judged besides the whole.
	window         = 2500 * time.Millisecond
	sampleInterval = 250 * time.Millisecond
	// freshSpan is how old a report may be for its proxy to count as in touch.
	contactTimeout = 1500 * time.Millisecond
	// forgetSpan is how long the last report of a silent proxy is kept.
	reportRetention = 2 * time.Minute
)

// NewCourt makes a court without evidence.
func NewAggregator(clock timetable.Clock) *Aggregator {
	return &Aggregator{clock: clock, proxies: map[string]*proxyReport{}, ended: map[Label]Counts{}, health: newServerHealth()}
}

// Hear takes a report; one that was taken already has no effect.
func (a *Aggregator) AddReport(report Report) {
	now := a.clock.Steady()
	proxy := a.proxies[report.Node]
	switch {
	case proxy == nil:
		proxy = &proxyReport{}
		a.proxies[report.Node] = proxy
	case proxy.report.Incarnation == report.Incarnation && proxy.report.Sequence >= report.Sequence:
		return
	case proxy.report.Incarnation != report.Incarnation:
		for _, row := range proxy.report.Rows {
			a.ended[row.Label] = a.ended[row.Label].Add(row.Counts)
		}
	}
	proxy.report, proxy.receivedAt = report, now
	a.health.add(report.Servers, now)
}

// Tend keeps the sliding window; it is called every few hundred milliseconds.
func (a *Aggregator) UpdateWindow() {
	now := a.clock.Steady()
	for node, proxy := range a.proxies {
		if now-proxy.receivedAt > timetable.Steady(reportRetention) {
			delete(a.proxies, node)
		}
	}
	if len(a.samples) > 0 && now-a.samples[len(a.samples)-1].at < timetable.Steady(sampleInterval) {
		return
	}
	oldest := 0
	for oldest+1 < len(a.samples) && now-a.samples[oldest+1].at >= timetable.Steady(window) {
		oldest++
	}
	a.samples = append(a.samples[oldest:], windowSample{now, a.sum()})
}

func (a *Aggregator) sum() map[Label]Counts {
	sums := make(map[Label]Counts, len(a.ended))
	for label, counts := range a.ended {
		sums[label] = counts
	}
	for _, proxy := range a.proxies {
		for _, row := range proxy.report.Rows {
			sums[row.Label] = sums[row.Label].Add(row.Counts)
		}
	}
	return sums
}

// Forget drops the trials of a subject that came before the number.
func (a *Aggregator) ForgetBefore(subject string, number uint64) {
	maps.DeleteFunc(a.ended, func(label Label, _ Counts) bool { return label.Subject == subject && label.Number < number })
}

// IsFresh tells whether the proxy reported within the span.
func (a *Aggregator) ReportedWithin(node string, span time.Duration) bool {
	proxy := a.proxies[node]
	return proxy != nil && time.Duration(a.clock.Steady()-proxy.receivedAt) <= span
}

// Proxies is how many proxies reported within the span.
func (a *Aggregator) ProxyCount(span time.Duration) (count int) {
	for node := range a.proxies {
		if a.ReportedWithin(node, span) {
			count++
		}
	}
	return count
}

// Lives is the sum over the proxies that reported within the span, each in its
// present life, by the closure that makes a figure of one.
func (a *Aggregator) CombineIncarnations(span time.Duration, hash func(node, incarnation string) uint64) (sum uint64) {
	for node, proxy := range a.proxies {
		if a.ReportedWithin(node, span) {
			sum ^= hash(node, proxy.report.Incarnation)
		}
	}
	return sum
}

// Touch is what the proxies in touch say of one subject.
type Usage struct {
	// Proxies is how many there are; Behind, how many work by a reading of the
	// fleet that is older than the one asked for.
	Proxies, Outdated int
	// AtWork is how many inquiries are under way at the version in force.
	InFlight int
}

// IsLeft tells whether no proxy in touch has anything under way at the version
// in force, or could still send it something.
func (u Usage) Drained() bool { return u.Proxies > 0 && u.Outdated == 0 && u.InFlight == 0 }

// Touch looks at the proxies that reported a short while ago.
func (a *Aggregator) Usage(subject string, reading feed.Reading) (usage Usage) {
	now := a.clock.Steady()
	for _, proxy := range a.proxies {
		if now-proxy.receivedAt > timetable.Steady(contactTimeout) {
			continue
		}
		usage.Proxies++
		if reading.Outranks(feed.Reading{Term: proxy.report.Term, Count: proxy.report.Count}) {
			usage.Outdated++
		}
		for _, inFlight := range proxy.report.InFlight {
			if inFlight.Subject == subject {
				usage.InFlight += inFlight.Requests
			}
		}
	}
	return usage
}
