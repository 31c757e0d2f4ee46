package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

const (
	// resumeSpan is how long after a reading began a page that failed may be asked for
	// again with the pages before it kept.
	resumeWindow = 2 * time.Second
	// zonedLeast is how many servers a zone has on average where the list is read zone
	// by zone: with fewer, that takes more calls than the pages of all together.
	minServersPerZone = 60
	// lostPart is the part of the servers known that a reading by zone must show: where
	// the platform knows the zones by other names, it shows none.
	minKnownFraction = 0.5
)

// listReading is one reading of the whole list.
type listResult struct {
	servers []feed.Server
	// calls is how many calls this part of the reading took.
	calls int
	// began is when its first pages were asked for.
	started timetable.Steady
}

// zoneReading is how far the pages of one zone, or of all, have been read.
type zoneProgress struct {
	pageKey
	servers  []feed.Server
	complete bool
	// isAgain: its next page has failed before.
	failedBefore bool
}

// zoneAnswer is the answer to one zone's page.
type zoneResult struct {
	zone   *zoneProgress
	result pageResult
}

// listReader reads the platform's list: the zones side by side, the pages of each one
// after the other.
type listReader struct {
	client *pageClient
	clock  timetable.Clock
	// zones, if set, are those to read side by side, or none where all are read as one;
	// known is how many servers are known.
	zones func() (zones []string, known int)
	// onPage, if set, is given each page as it comes.
	onPage func([]feed.Server)
	// rest are the zones of a reading to go on with, and restBegan when it began.
	resumable        []*zoneProgress
	resumableStarted timetable.Steady
	// perSecond is how many calls a second may see, as window spreads them; 0 if there is
	// no bound.
	callsPerSecond float64
	window         listing.Window
	// usual is how long a call usually takes, smoothed.
	typicalLatency time.Duration
	// isUnzoned: the platform doesn't know the zones by their names.
	zonesUnknown bool
}

func newListReader(clock timetable.Clock, address func() string) *listReader {
	return &listReader{client: newPageClient(clock, address), clock: clock}
}

// zonesOf are the zones to read side by side: those of the settings and of the servers
// that are known, unless there are few servers.
func zonesOf(configured map[string]string, servers []feed.Server) (zones []string) {
	names := map[string]bool{}
	for zone := range configured {
		names[zone] = true
	}
	for _, server := range servers {
		names[server.Cell] = true
	}
	delete(names, "")
	if len(names) < 2 || len(servers) < minServersPerZone*len(names) {
		return nil
	}
	return slices.Sorted(maps.Keys(names))
}

// read reads the list to its end, from the pages at which the last reading failed, if
// that is not long ago. A page that fails again takes the whole reading with it, as its
// token may be what is wrong.
func (r *listReader) read(ctx context.Context) (listResult, error) {
	out, progress, known := r.start()
	results, active := make(chan zoneResult), 0
	request := func(zone *zoneProgress) {
		active++
		wait, typicalLatency := r.window.Reserve(r.clock.Steady(), r.callsPerSecond), r.typicalLatency
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
	}
	if len(progress) > 1 && float64(len(out.servers)) < minKnownFraction*float64(known) {
		r.zonesUnknown = true
		return out, errors.NotFoundf("most servers, reading by zone,")
	}
	return out, nil
}

// begin is a reading's beginning: that of the last, if it can be gone on with.
func (r *listReader) start() (out listResult, progress []*zoneProgress, known int) {
	out.started = r.clock.Steady()
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

// keep keeps a reading to go on with, unless a page failed again.
func (r *listReader) saveForResume(progress []*zoneProgress, started timetable.Steady) {
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

// take notes a zone's page, which whoever waits for pages is given at once.
func (r *listReader) addPage(received zoneResult) {
	now := r.clock.Wall()
	var servers []feed.Server
	for _, entry := range received.result.page.Instances {
		servers = append(servers, entry.server(now))
	}
	zone, next := received.zone, received.result.page.NextToken
	zone.servers, zone.failedBefore = append(zone.servers, servers...), false
	if zone.complete = next == nil || *next == ""; !zone.complete {
		zone.token = *next
	}
	if r.onPage != nil {
		r.onPage(servers)
	}
}

func (r *listReader) recordLatency(latency time.Duration) {
	if r.typicalLatency == 0 {
		r.typicalLatency = latency
	}
	r.typicalLatency += time.Duration(latencyWeight * float64(latency-r.typicalLatency))
}
