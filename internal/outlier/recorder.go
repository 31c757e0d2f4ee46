// Package outlier gathers what real replies show of servers and versions, and
// judges by it. Proxies count outcomes and report them; the holder of the duty
// sums the reports and compares like with like: the same lane, the same time.
package outlier

import (
	"maps"
	"slices"
	"sync"
)

// Outcome is what one delivery showed.
type Outcome uint8

// The outcomes of a delivery that say something of the server's version.
const (
	Success Outcome = iota
	// Failed: the server itself answered that it failed.
	Failed
	// Slow: the reply took several times what the lane's replies usually take.
	Slow
	// Broken: the connection broke off before the reply was whole.
	Broken
	// Missing: a keyed operation was given up on without an end.
	Unresolved
	// Doubled: a keyed operation would have run without its record.
	Duplicated
	outcomeCount
)

// Tally counts outcomes; Sum of its counts is how many deliveries there were.
type Counts [outcomeCount]uint32

// Sum is how many deliveries the tally counts.
func (c Counts) Total() (sum uint32) {
	for _, count := range c {
		sum += count
	}
	return sum
}

// Plus adds two tallies.
func (c Counts) Add(other Counts) Counts {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

// Less takes an older reading of the same counts away.
func (c Counts) Subtract(older Counts) Counts {
	for i := range c {
		c[i] -= min(c[i], older[i])
	}
	return c
}

// Mark says what an outcome is counted for: the trial, by its subject and
// number, the lane, and the side of the trial.
type Label struct {
	// Subject is a service whose version is on trial, or a staged change.
	Subject string `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	// IsTrial tells the side that is on trial from the one in force.
	OnTrial bool `cbor:"4,keyasint,omitempty"`
	// Wave is the wave of a staged change, on the side that is on trial.
	Wave int `cbor:"5,keyasint,omitempty"`
}

// Row is the tally of one mark.
type LabelCounts struct {
	Label  Label  `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// Work is how many inquiries are under way at the side in force.
type InFlight struct {
	Subject  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// ServerRow is what one server did since the last report.
type ServerCounts struct {
	ID     string `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
	// Paces is the sum of how long its replies took beside the lane's usual,
	// over as many as Paced.
	LatencyRatioSum float32 `cbor:"3,keyasint,omitempty"`
	LatencySamples  uint32  `cbor:"4,keyasint,omitempty"`
	// Tried is how many tries came to an end there, Strained how many of them the
	// server turned away or was late with.
	Attempts   uint32 `cbor:"5,keyasint,omitempty"`
	Overloaded uint32 `cbor:"6,keyasint,omitempty"`
}

// Report is one proxy's counts. Rows are whole since the trial began, so a
// later report takes the place of an earlier one, and one that is lost or comes
// twice does no harm; the servers' rows are changes and count once by number.
type Report struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Term and Count are the reading of the fleet that the proxy works by.
	Term     uint64         `cbor:"4,keyasint"`
	Count    uint64         `cbor:"5,keyasint"`
	Rows     []LabelCounts  `cbor:"6,keyasint,omitempty"`
	Servers  []ServerCounts `cbor:"7,keyasint,omitempty"`
	InFlight []InFlight     `cbor:"8,keyasint,omitempty"`
}

const (
	maxServers = 512
	// paceMost bounds what one reply can say of a server's pace.
	maxLatencyRatio = 6
)

// Box counts outcomes at one proxy.
type Recorder struct {
	mu       sync.Mutex
	rows     map[Label]Counts
	servers  map[string]ServerCounts
	sequence uint64
}

// NewBox makes an empty box.
func NewRecorder() *Recorder {
	return &Recorder{rows: map[Label]Counts{}, servers: map[string]ServerCounts{}}
}

// Note counts one outcome for a trial. An earlier trial of the subject is over
// then, and its counts with it.
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

// NoteServer counts one outcome of a server, and how long its reply took beside
// what the lane's usually take, if that is known.
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

// NoteStrain counts a try at a server for the overload of its service.
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

// Report is what the holder is told now. The servers' counts begin anew.
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
