// Package outlier evaluates servers and versions by the outcomes of real requests.
// Proxies count outcomes and report them; the leader sums the reports and compares
// like with like: the same route in the same period.
package outlier

import (
	"maps"
	"slices"
	"sync"
)

// Outcome is the outcome of one attempt.
type Outcome uint8

// The outcomes of an attempt that say something about the server's version.
const (
	Success Outcome = iota
	// Failed: the server itself answered that it failed.
	Failed
	// Slow: the response took several times the route's usual latency.
	Slow
	// Broken: the connection broke before the response was complete.
	Broken
	// Unresolved: a keyed operation was given up without a known result.
	Unresolved
	// Duplicated: a keyed operation would have run without its record.
	Duplicated
	outcomeCount
)

// Counts holds the number of attempts by outcome.
type Counts [outcomeCount]uint32

// Total returns the number of attempts.
func (c Counts) Total() (sum uint32) {
	for _, count := range c {
		sum += count
	}
	return sum
}

// Add returns the sum of both counts.
func (c Counts) Add(other Counts) Counts {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

// Subtract returns the counts without those of an older reading.
func (c Counts) Subtract(older Counts) Counts {
	for i := range c {
		c[i] -= min(c[i], older[i])
	}
	return c
}

// Label identifies what an outcome is counted for: the rollout, by its subject and
// number, the route and the side of the rollout.
type Label struct {
	// Subject is a service with a canary version, or a staged change.
	Subject string `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	// OnTrial distinguishes the side on trial from the side in force.
	OnTrial bool `cbor:"4,keyasint,omitempty"`
	// Wave is the wave of a staged change, for the side on trial.
	Wave int `cbor:"5,keyasint,omitempty"`
}

// LabelCounts holds the counts of one label.
type LabelCounts struct {
	Label  Label  `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// InFlight is the number of requests in flight to the side in force.
type InFlight struct {
	Subject  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// ServerCounts holds the counts of one server since the last report.
type ServerCounts struct {
	ID     string `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
	// LatencyRatioSum is the sum of the ratios of the server's latency to the route's
	// usual latency, LatencySamples their number.
	LatencyRatioSum float32 `cbor:"3,keyasint,omitempty"`
	LatencySamples  uint32  `cbor:"4,keyasint,omitempty"`
	// Attempts counts the finished attempts, Overloaded those that the server rejected
	// or was late with.
	Attempts   uint32 `cbor:"5,keyasint,omitempty"`
	Overloaded uint32 `cbor:"6,keyasint,omitempty"`
}

// Report holds one proxy's counts. Rows are totals since the rollout began, so that a
// later report replaces an earlier one, and lost or repeated reports do no harm.
// Servers are increments that count once per sequence number.
type Report struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Term and Count are the version of the fleet state that the proxy uses.
	Term     uint64         `cbor:"4,keyasint"`
	Count    uint64         `cbor:"5,keyasint"`
	Rows     []LabelCounts  `cbor:"6,keyasint,omitempty"`
	Servers  []ServerCounts `cbor:"7,keyasint,omitempty"`
	InFlight []InFlight     `cbor:"8,keyasint,omitempty"`
}

const (
	maxServers = 512
	// maxLatencyRatio limits the influence of a single response.
	maxLatencyRatio = 6
)

// Recorder counts outcomes at one proxy.
type Recorder struct {
	mu       sync.Mutex
	rows     map[Label]Counts
	servers  map[string]ServerCounts
	sequence uint64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{rows: map[Label]Counts{}, servers: map[string]ServerCounts{}}
}

// Record counts an outcome for a rollout. The first outcome of a rollout discards the
// counts of earlier rollouts of the subject.
func (r *Recorder) Record(label Label, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, known := r.rows[label]
	if !known {
		maps.DeleteFunc(r.rows, func(other Label, _ Counts) bool { return other.Subject == label.Subject && other.Number < label.Number })
	}
	row[outcome]++
	r.rows[label] = row
}

// RecordServer counts an outcome for a server. latencyRatio is the ratio of its latency
// to the route's usual latency, or 0 if unknown.
func (r *Recorder) RecordServer(server string, outcome Outcome, latencyRatio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, known := r.servers[server]
	if !known && len(r.servers) >= maxServers {
		return
	}
	row.ID = server
	if row.Counts[outcome]++; latencyRatio > 0 && (outcome == Success || outcome == Slow) {
		row.LatencyRatioSum += float32(min(latencyRatio, maxLatencyRatio))
		row.LatencySamples++
	}
	r.servers[server] = row
}

// RecordLoad counts an attempt at a server for the detection of overload.
func (r *Recorder) RecordLoad(server string, overloaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, known := r.servers[server]
	if !known && len(r.servers) >= maxServers {
		return
	}
	row.ID = server
	if row.Attempts++; overloaded {
		row.Overloaded++
	}
	r.servers[server] = row
}

// Report returns the report to send to the leader, and resets the counts of the
// servers.
func (r *Recorder) Report(node, incarnation string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	report := Report{Node: node, Incarnation: incarnation, Sequence: r.sequence}
	for other, counts := range r.rows {
		report.Rows = append(report.Rows, LabelCounts{other, counts})
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		report.Servers = append(report.Servers, r.servers[id])
	}
	clear(r.servers)
	return report
}
