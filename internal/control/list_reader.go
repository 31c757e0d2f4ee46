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
	resumeSpan = 2 * time.Second
	// zonedLeast is how many servers a zone has on average where the list is read zone
	// by zone: with fewer, that takes more calls than the pages of all together.
	zonedLeast = 60
	// lostPart is the part of the servers known that a reading by zone must show: where
	// the platform knows the zones by other names, it shows none.
	lostPart = 0.5
)

// listReading is one reading of the whole list.
type listReading struct {
	servers []feed.Server
	// calls is how many calls this part of the reading took.
	calls int
	// began is when its first pages were asked for.
	began timetable.Steady
}

// zoneReading is how far the pages of one zone, or of all, have been read.
type zoneReading struct {
	pageOf
	servers []feed.Server
	isWhole bool
	// isAgain: its next page has failed before.
	isAgain bool
}

// zoneAnswer is the answer to one zone's page.
type zoneAnswer struct {
	zone   *zoneReading
	answer pageAnswer
}

// listReader reads the platform's list: the zones side by side, the pages of each one
// after the other.
type listReader struct {
	caller *pageCaller
	clock  timetable.Clock
	// zones, if set, are those to read side by side, or none where all are read as one;
	// known is how many servers are known.
	zones func() (zones []string, known int)
	// onPage, if set, is given each page as it comes.
	onPage func([]feed.Server)
	// rest are the zones of a reading to go on with, and restBegan when it began.
	rest      []*zoneReading
	restBegan timetable.Steady
	// perSecond is how many calls a second may see, as window spreads them; 0 if there is
	// no bound.
	perSecond float64
	window    listing.Window
	// usual is how long a call usually takes, smoothed.
	usual time.Duration
	// isUnzoned: the platform doesn't know the zones by their names.
	isUnzoned bool
}

func newListReader(clock timetable.Clock, address func() string) *listReader {
	return &listReader{caller: newPageCaller(clock, address), clock: clock}
}

// zonesOf are the zones to read side by side: those of the settings and of the servers
// that are known, unless there are few servers.
func zonesOf(settled map[string]string, servers []feed.Server) (zones []string) {
	names := map[string]bool{}
	for zone := range settled {
		names[zone] = true
	}
	for _, server := range servers {
		names[server.Cell] = true
	}
	delete(names, "")
	if len(names) < 2 || len(servers) < zonedLeast*len(names) {
		return nil
	}
	return slices.Sorted(maps.Keys(names))
}

// read reads the list to its end, from the pages at which the last reading failed, if
// that is not long ago. A page that fails again takes the whole reading with it, as its
// token may be what is wrong.
func (r *listReader) read(ctx context.Context) (listReading, error) {
	out, under, known := r.begin()
	answers, active := make(chan zoneAnswer), 0
	ask := func(zone *zoneReading) {
		active++
		wait, usual := r.window.Reserve(r.clock.Steady(), r.perSecond), r.usual
		go func() {
			if wait > 0 {
				r.clock.Sleep(wait)
			}
			answers <- zoneAnswer{zone, r.caller.page(ctx, zone.pageOf, usual)}
		}()
	}
	for _, zone := range under {
		if !zone.isWhole {
			ask(zone)
		}
	}
	var failed error
	for active > 0 {
		got := <-answers
		active--
		out.calls += got.answer.calls
		r.learn(got.answer.took)
		if got.answer.err != nil {
			failed = got.answer.err
			continue
		}
		if r.take(got); !got.zone.isWhole {
			ask(got.zone)
		}
	}
	if failed != nil {
		r.keep(under, out.began)
		return out, failed
	}
	for _, zone := range under {
		out.servers = append(out.servers, zone.servers...)
	}
	if len(under) > 1 && float64(len(out.servers)) < lostPart*float64(known) {
		r.isUnzoned = true
		return out, errors.NotFoundf("most servers, reading by zone,")
	}
	return out, nil
}

// begin is a reading's beginning: that of the last, if it can be gone on with.
func (r *listReader) begin() (out listReading, under []*zoneReading, known int) {
	out.began = r.clock.Steady()
	under, r.rest = r.rest, nil
	var zones []string
	if r.zones != nil && !r.isUnzoned {
		zones, known = r.zones()
	}
	if len(under) > 0 && time.Duration(out.began-r.restBegan) < resumeSpan {
		out.began = r.restBegan
		return out, under, known
	}
	if under = nil; len(zones) == 0 {
		return out, []*zoneReading{{}}, known
	}
	for _, zone := range zones {
		under = append(under, &zoneReading{pageOf: pageOf{zone: zone}})
	}
	return out, under, known
}

// keep keeps a reading to go on with, unless a page failed again.
func (r *listReader) keep(under []*zoneReading, began timetable.Steady) {
	hasAny := false
	for _, zone := range under {
		if !zone.isWhole && zone.isAgain {
			return
		}
		zone.isAgain = !zone.isWhole
		hasAny = hasAny || len(zone.servers) > 0
	}
	if hasAny {
		r.rest, r.restBegan = under, began
	}
}

// take notes a zone's page, which whoever waits for pages is given at once.
func (r *listReader) take(got zoneAnswer) {
	now := r.clock.Wall()
	var servers []feed.Server
	for _, entry := range got.answer.page.Instances {
		servers = append(servers, entry.server(now))
	}
	zone, next := got.zone, got.answer.page.NextToken
	zone.servers, zone.isAgain = append(zone.servers, servers...), false
	if zone.isWhole = next == nil || *next == ""; !zone.isWhole {
		zone.token = *next
	}
	if r.onPage != nil {
		r.onPage(servers)
	}
}

func (r *listReader) learn(took time.Duration) {
	if r.usual == 0 {
		r.usual = took
	}
	r.usual += time.Duration(usualWeight * float64(took-r.usual))
}
