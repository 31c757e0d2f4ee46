package outlier

import (
	"maps"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

// proxyReport is the last report of a proxy's current incarnation.
type proxyReport struct {
	report     Report
	receivedAt clock.Instant
}

// windowSample is the sum of all rows at a point in time.
type windowSample struct {
	at   clock.Instant
	rows map[Label]Counts
}

// Aggregator sums reports. It is not safe for concurrent use.
type Aggregator struct {
	clock   clock.Clock
	proxies map[string]*proxyReport
	// ended holds the rows of previous incarnations.
	ended   map[Label]Counts
	samples []windowSample
	// health holds the statistics of the servers.
	health *ServerHealth
}

const (
	// window is the recent period that is evaluated in addition to the whole rollout.
	window         = 2500 * time.Millisecond
	sampleInterval = 250 * time.Millisecond
	// contactTimeout is the age up to which a report counts its proxy as in contact.
	contactTimeout = 1500 * time.Millisecond
	// reportRetention is how long the last report of a silent proxy is kept.
	reportRetention = 2 * time.Minute
)

// NewAggregator returns an aggregator without reports.
func NewAggregator(clock clock.Clock) *Aggregator {
	return &Aggregator{clock: clock, proxies: map[string]*proxyReport{}, ended: map[Label]Counts{}, health: newServerHealth()}
}

// AddReport adds a report. A report that was added before has no effect.
func (a *Aggregator) AddReport(report Report) {
	now := a.clock.Monotonic()
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

// UpdateWindow advances the sliding window. It is called every few hundred
// milliseconds.
func (a *Aggregator) UpdateWindow() {
	now := a.clock.Monotonic()
	for node, proxy := range a.proxies {
		if now-proxy.receivedAt > clock.Instant(reportRetention) {
			delete(a.proxies, node)
		}
	}
	if len(a.samples) > 0 && now-a.samples[len(a.samples)-1].at < clock.Instant(sampleInterval) {
		return
	}
	oldest := 0
	for oldest+1 < len(a.samples) && now-a.samples[oldest+1].at >= clock.Instant(window) {
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

// ForgetBefore discards the rows of the subject's rollouts before the number.
func (a *Aggregator) ForgetBefore(subject string, number uint64) {
	maps.DeleteFunc(a.ended, func(label Label, _ Counts) bool { return label.Subject == subject && label.Number < number })
}

// ReportedWithin reports whether the proxy sent a report within the span.
func (a *Aggregator) ReportedWithin(node string, span time.Duration) bool {
	proxy := a.proxies[node]
	return proxy != nil && time.Duration(a.clock.Monotonic()-proxy.receivedAt) <= span
}

// ProxyCount returns the number of proxies that sent a report within the span.
func (a *Aggregator) ProxyCount(span time.Duration) (count int) {
	for node := range a.proxies {
		if a.ReportedWithin(node, span) {
			count++
		}
	}
	return count
}

// CombineIncarnations combines (by exclusive or) the hashes of the current incarnations
// of all proxies that sent a report within the span.
func (a *Aggregator) CombineIncarnations(span time.Duration, hash func(node, incarnation string) uint64) (sum uint64) {
	for node, proxy := range a.proxies {
		if a.ReportedWithin(node, span) {
			sum ^= hash(node, proxy.report.Incarnation)
		}
	}
	return sum
}

// Usage is what the proxies in contact report about one subject.
type Usage struct {
	// Proxies is the number of proxies in contact, Outdated the number of those that
	// use an older version of the fleet state than the given one.
	Proxies, Outdated int
	// InFlight is the number of requests in flight to the version in force.
	InFlight int
}

// Drained reports whether no proxy in contact has a request in flight to the version in
// force, or could still send one to it.
func (u Usage) Drained() bool { return u.Proxies > 0 && u.Outdated == 0 && u.InFlight == 0 }

// Usage sums the reports of the proxies in contact.
func (a *Aggregator) Usage(subject string, reading feed.FleetVersion) (usage Usage) {
	now := a.clock.Monotonic()
	for _, proxy := range a.proxies {
		if now-proxy.receivedAt > clock.Instant(contactTimeout) {
			continue
		}
		usage.Proxies++
		if reading.NewerThan(feed.FleetVersion{Term: proxy.report.Term, Count: proxy.report.Count}) {
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
