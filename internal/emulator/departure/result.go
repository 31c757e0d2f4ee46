package departure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ploverhitch/internal/feed"
)

const (
	longestSpan = int64(time.Minute / time.Microsecond)
	digits      = 3
)

// Spans are measured spans.
type Spans struct{ histogram *hdrhistogram.Histogram }

func newSpans() Spans { return Spans{hdrhistogram.New(1, longestSpan, digits)} }

func (s Spans) record(span time.Duration) {
	_ = s.histogram.RecordValue(max(1, span.Microseconds()))
}

// Merge adds the spans of another run.
//
// Example:
//
//	all.Merge(result.Known)
func (s Spans) Merge(other Spans) { s.histogram.Merge(other.histogram) }

// Count is how many spans were measured.
//
// Example:
//
//	isAny := spans.Count() > 0
func (s Spans) Count() int64 { return s.histogram.TotalCount() }

// Quantile is the span below which so many in a hundred lie.
//
// Example:
//
//	middle := spans.Quantile(50)
func (s Spans) Quantile(percent float64) time.Duration {
	return time.Duration(s.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// Most is the longest span.
//
// Example:
//
//	worst := spans.Most()
func (s Spans) Most() time.Duration { return time.Duration(s.histogram.Max()) * time.Microsecond }

// Result is what a run came to. All spans but the first begin when the list shows a
// server leaving.
type Result struct {
	// Readings are how long whole readings of the list took.
	Readings Spans
	// Read ends when a page shows the server leaving, Told when the first member tells
	// its followers.
	Read, Told Spans
	// Known ends at the last moment at which a proxy would still have chosen the
	// server, LastByte when a request sent then reaches it; SettledLastByte is the
	// same, of moments at which the core is settled.
	Known, LastByte, SettledLastByte Spans
	// Regressions counts proxies that went back to a server that they had seen leave.
	Regressions int
	// Calls is how many calls the platform was made.
	Calls int
}

// NewResult is a result of no run, for those of many to be merged into.
//
// Example:
//
//	all := departure.NewResult()
func NewResult() Result {
	return Result{Readings: newSpans(), Read: newSpans(), Told: newSpans(), Known: newSpans(), LastByte: newSpans(), SettledLastByte: newSpans()}
}

// Merge adds another run's result.
//
// Example:
//
//	all.Merge(departure.Run(options))
func (r *Result) Merge(other Result) {
	r.Readings.Merge(other.Readings)
	r.Read.Merge(other.Read)
	r.Told.Merge(other.Told)
	r.Known.Merge(other.Known)
	r.LastByte.Merge(other.LastByte)
	r.SettledLastByte.Merge(other.SettledLastByte)
	r.Regressions += other.Regressions
	r.Calls += other.Calls
}

// begin follows a server from the moment when the list shows it leaving.
func (w *world) begin(leaver *departed) { w.leaving[leaver.id] = leaver }

// noteRead notes what a page shows.
func (w *world) noteRead(page []feed.Server) {
	for _, server := range page {
		if leaver := w.leaving[server.ID]; leaver != nil && !server.IsReady && !leaver.isRead {
			leaver.isRead = true
			w.result.Read.record(w.Now - leaver.shown)
		}
	}
}

// noteTold notes what a member's board has come to know.
func (w *world) noteTold(board *feed.Replica) {
	for id, leaver := range w.leaving {
		if !leaver.isTold && board.Leaving[id] {
			leaver.isTold = true
			w.result.Told.record(w.Now - leaver.shown)
		}
	}
}

// finish measures a server that has ended. A proxy that never saw it leave would have
// sent to it until then.
func (w *world) finish(leaver *departed) {
	for _, p := range w.proxies {
		last, isSeen := p.since[leaver.id]
		if !isSeen {
			last = leaver.ends
		}
		known := last - leaver.shown
		sent := min(known+w.sendDelay(), leaver.ends-leaver.shown)
		w.result.Known.record(known)
		w.result.LastByte.record(sent)
		if settled := w.lastSettled(last); settled >= leaver.shown {
			w.result.SettledLastByte.record(min(sent, settled-leaver.shown+w.sendDelay()))
		}
		delete(p.since, leaver.id)
	}
	delete(w.leaving, leaver.id)
}
