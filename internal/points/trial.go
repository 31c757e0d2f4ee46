package points

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

const (
	reportPeriod = 250 * time.Millisecond
	// restPeriods is how many periods pass between reports while nothing is on
	// trial.
	restPeriods = 4
	// reportSpan is how long the reply to a report is waited for.
	reportSpan = time.Second
	// slowTimes is how many times as long as usual a slow reply takes, slowLeast
	// what is never slow.
	slowTimes = 3
	slowLeast = 20 * time.Millisecond
)

// holdsGrants tells whether the grants in the fleet's news have not lapsed.
func (s *sight) holdsGrants(now timetable.Steady) bool {
	return time.Duration(now-s.heard) <= feed.GrantSpan
}

// grant is the share of the service's version on trial, while it holds.
func (s *sight) grant(service string, now timetable.Steady) (share feed.Share, isGranted bool) {
	if !s.holdsGrants(now) {
		return share, false
	}
	for _, share = range s.shares {
		if share.Service == service {
			return share, true
		}
	}
	return feed.Share{}, false
}

// admitTrial decides whether an inquiry may go to the version on trial.
func (p *proxy) admitTrial(one *inquiry) {
	if len(one.sight.shares) == 0 {
		return
	}
	if share, isGranted := one.sight.grant(one.service, p.clock.Steady()); isGranted {
		one.isTrial = p.allowance(one.service).Take(share.Number, share.Part, one.lane.Name)
	}
}

func (p *proxy) allowance(service string) *balancer.Allowance {
	known, _ := p.allowances.LoadOrStore(service, &balancer.Allowance{})
	return known.(*balancer.Allowance)
}

// mayTry tells whether the next try may go to the version on trial: the first
// one of an inquiry that was admitted to it, under a grant that still holds; or
// any, once it has everything.
func (d *delivery) mayTry(s *sight) bool {
	if !d.one.isTrial {
		return false
	}
	share, isGranted := s.grant(d.one.service, d.clock.Steady())
	return isGranted && (len(d.passed) == 0 || share.Part >= 1)
}

// testify counts what a try showed of the server and of its version.
func (d *delivery) testify(siding *balancer.Siding, mark outlier.Mark, reply *upstream.Response, err error, took, usual time.Duration) {
	outcome := outlier.Good
	isWarming := siding.WarmLeft(d.clock.Wall()) > 0
	isSlow := usual > 0 && took > max(slowTimes*usual, slowLeast)
	var timed net.Error
	switch {
	case err != nil && errors.Is(err, upstream.ErrNotSent):
		return
	case err != nil && errors.As(err, &timed) && timed.Timeout():
		outcome = outlier.Slow
	case err != nil:
		outcome = outlier.Broken
	case reply.IsNotExecuted():
		return
	case reply.Status == http.StatusInternalServerError || reply.Status == http.StatusBadGateway || reply.Status == http.StatusServiceUnavailable:
		outcome = outlier.Failed
	case isSlow || reply.Status == http.StatusGatewayTimeout:
		outcome = outlier.Slow
	}
	pace := 0.0
	if usual > 0 && !isWarming {
		pace = float64(took) / float64(usual)
	}
	d.box.NoteServer(siding.ID, outcome, pace)
	if mark.Number > 0 && (outcome != outlier.Slow || !isWarming) {
		d.box.Note(mark, outcome)
	}
}

// mark is what a try counts for: the trial that was on when it was sent.
func (d *delivery) mark(siding *balancer.Siding) (mark outlier.Mark) {
	if share, isGranted := d.sight.Load().grant(d.one.service, d.clock.Steady()); isGranted {
		mark = outlier.Mark{Subject: d.one.service, Number: share.Number, Lane: d.one.lane.Name, IsTrial: siding.Grade == feed.OnTrial}
	}
	return mark
}

// reportOn tells the holder of the duty what was counted, often while something
// is on trial.
func (p *proxy) reportOn(ctx context.Context) {
	periods := 0
	timetable.Every(ctx, reportPeriod, func() {
		periods++
		s := p.sight.Load()
		isStrained := p.measure()
		if s.holder == "" || len(s.shares)+len(s.stages) == 0 && !p.isShort() && !isStrained && periods%restPeriods > 0 {
			return
		}
		set, sentAt := p.set.Load(), p.clock.Steady()
		report := p.box.Report(set.Platform.NodeName, p.life)
		report.Term, report.Count = s.reading.Term, s.reading.Count
		for _, share := range s.shares {
			report.Works = append(report.Works, outlier.Work{Subject: share.Service, AtWork: s.yard.AtWork(share.Service)})
		}
		out := messages.Report{Evidence: report, Cell: set.Platform.Cell}
		if set.Tuning.Branchline != settings.BranchOff {
			out.Uses = p.purse.Uses()
		}
		out.Loads, out.Mirrored = p.loads(), p.copier.tallies()
		line := p.line(s.holder)
		go func() {
			var told messages.Lots
			if line.Ask(messages.KindReport, out, &told, reportSpan) == nil {
				p.heard()
				p.purse.Take(told.Lots, sentAt)
			}
		}()
	})
}
