package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
)

const (
	// resumeWindow is the time after the start of a read within which a later read may
	// resume it at the failed pages and keep the pages before them.
	resumeWindow = 2 * time.Second
	// minServersPerZone is the average number of servers per zone from which the list is
	// read zone by zone. With fewer, that takes more calls than reading all zones as one.
	minServersPerZone = 60
	// minKnownFraction is the fraction of the known servers that a read by zone must
	// return. If the platform uses other zone names, it returns none.
	minKnownFraction = 0.5
)

// listResult is the result of one read of the whole list.
type listResult struct {
	servers []feed.Server
	// unreadable describes the entries that could not be decoded.
	unreadable []string
	// calls is the number of calls made, without those of a read that this one resumes.
	calls int
	// started is when the first pages were requested.
	started clock.Instant
}

// zoneProgress is how far the pages of one zone, or of all zones, have been read.
type zoneProgress struct {
	pageKey
	servers  []feed.Server
	complete bool
	// unreadable describes the entries that could not be decoded.
	unreadable []string
	// failedBefore is set if the next page failed in the last read.
	failedBefore bool
}

// zoneResult is the result for one page of a zone.
type zoneResult struct {
	zone   *zoneProgress
	result pageResult
}

// listReader reads the platform's list: the zones concurrently, the pages of each zone in
// sequence.
type listReader struct {
	client *pageClient
	clock  clock.Clock
	// zones, if set, returns the zones to read concurrently, or none if all are read as
	// one, and the number of known servers.
	zones func() (zones []string, known int)
	// onPage, if set, is called with each page as it arrives.
	onPage func([]feed.Server)
	// resumable holds the zones of a failed read that can be resumed, and
	// resumableStarted when that read started.
	resumable        []*zoneProgress
	resumableStarted clock.Instant
	// callsPerSecond is the rate limit that window enforces, or 0 for none.
	callsPerSecond float64
	window         listing.Window
	// typicalLatency is a moving average of the latency of calls.
	typicalLatency time.Duration
	// zonesUnknown is set if the platform doesn't know the zone names.
	zonesUnknown bool
}

func newListReader(clock clock.Clock, address func() string) *listReader {
	return &listReader{client: newPageClient(clock, address), clock: clock}
}

// zonesOf returns the zones to read concurrently: those in the settings and those of the
// known servers, or none if there are few servers.
func zonesOf(configured map[string]string, servers []feed.Server) (zones []string) {
	names := map[string]bool{}
	for zone := range configured {
		names[zone] = true
	}
	for _, server := range servers {
		names[server.Zone] = true
	}
	delete(names, "")
	if len(names) < 2 || len(servers) < minServersPerZone*len(names) {
		return nil
	}
	return slices.Sorted(maps.Keys(names))
}

// read reads the whole list. It resumes the last read at the failed pages if that read
// started within resumeWindow. If a page fails again, the next read starts from the
// beginning, as the page token may be the cause.
func (r *listReader) read(ctx context.Context) (listResult, error) {
	out, progress, known := r.start()
	results, active := make(chan zoneResult), 0
	request := func(zone *zoneProgress) {
		active++
		wait, typicalLatency := r.window.Reserve(r.clock.Monotonic(), r.callsPerSecond), r.typicalLatency
		go func() {
			if wait > 0 {
				r.clock.Sleep(wait)
			}
			results <- zoneResult{zone, r.client.page(ctx, zone.pageKey, typicalLatency)}
		}()
	}
	for _, zone := range progress {
		if !zone.complete {
			request(zone)
		}
	}
	var failure error
	for active > 0 {
		received := <-results
		active--
		out.calls += received.result.calls
		r.recordLatency(received.result.latency)
		if received.result.err != nil {
			failure = received.result.err
			continue
		}
		if r.addPage(received); !received.zone.complete {
			request(received.zone)
		}
	}
	if failure != nil {
		r.saveForResume(progress, out.started)
		return out, failure
	}
	for _, zone := range progress {
		out.servers = append(out.servers, zone.servers...)
		out.unreadable = append(out.unreadable, zone.unreadable...)
	}
	if len(progress) > 1 && float64(len(out.servers)) < minKnownFraction*float64(known) {
		r.zonesUnknown = true
		return out, errors.NotFoundf("most known servers in a read by zone")
	}
	return out, nil
}

// start resumes the last read if possible, and otherwise starts a new one.
func (r *listReader) start() (out listResult, progress []*zoneProgress, known int) {
	out.started = r.clock.Monotonic()
	progress, r.resumable = r.resumable, nil
	var zones []string
	if r.zones != nil && !r.zonesUnknown {
		zones, known = r.zones()
	}
	if len(progress) > 0 && time.Duration(out.started-r.resumableStarted) < resumeWindow {
		out.started = r.resumableStarted
		return out, progress, known
	}
	if progress = nil; len(zones) == 0 {
		return out, []*zoneProgress{{}}, known
	}
	for _, zone := range zones {
		progress = append(progress, &zoneProgress{pageKey: pageKey{zone: zone}})
	}
	return out, progress, known
}

// saveForResume saves a failed read for the next one to resume, unless a page failed again
// or no page was read.
func (r *listReader) saveForResume(progress []*zoneProgress, started clock.Instant) {
	hasPages := false
	for _, zone := range progress {
		if !zone.complete && zone.failedBefore {
			return
		}
		zone.failedBefore = !zone.complete
		hasPages = hasPages || len(zone.servers) > 0
	}
	if hasPages {
		r.resumable, r.resumableStarted = progress, started
	}
}

// addPage adds a page to its zone and passes it to onPage at once.
func (r *listReader) addPage(received zoneResult) {
	now := r.clock.Wall()
	var servers []feed.Server
	for _, entry := range received.result.page.Instances {
		servers = append(servers, entry.server(now))
	}
	zone, next := received.zone, received.result.page.NextToken
	zone.servers, zone.failedBefore = append(zone.servers, servers...), false
	zone.unreadable = append(zone.unreadable, received.result.page.unreadable...)
	if zone.complete = next == nil || *next == ""; !zone.complete {
		zone.token = *next
	}
	if r.onPage != nil {
		r.onPage(servers)
	}
}

// recordLatency updates the moving average of the call latency.
func (r *listReader) recordLatency(latency time.Duration) {
	if r.typicalLatency == 0 {
		r.typicalLatency = latency
	}
	r.typicalLatency += time.Duration(latencyWeight * float64(latency-r.typicalLatency))
}
