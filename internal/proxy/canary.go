package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/upstream"
)

const (
	reportPeriod = 250 * time.Millisecond
	// idleReportPeriods is how many periods pass between reports while there is no
	// canary, staged change, overload or lack of slots.
	idleReportPeriods = 4
	reportTimeout     = time.Second
	// A response is slow if it takes more than slowFactor times the usual latency
	// of its route, and more than slowMin.
	slowFactor = 3
	slowMin    = 20 * time.Millisecond
)

// grantsValid reports whether the grants in the last fleet state have not expired.
func (s *snapshot) grantsValid(now clock.Instant) bool {
	return time.Duration(now-s.fleetReceivedAt) <= feed.GrantDuration
}

// canaryShare returns the traffic share of the service's canary version while its
// grant is valid.
func (s *snapshot) canaryShare(service string, now clock.Instant) (share feed.CanaryShare, granted bool) {
	if !s.grantsValid(now) {
		return share, false
	}
	for _, share = range s.canaryShares {
		if share.Service == service {
			return share, true
		}
	}
	return feed.CanaryShare{}, false
}

// admitToCanary decides whether a request may go to the canary version.
func (p *proxy) admitToCanary(req *clientRequest) {
	if len(req.snapshot.canaryShares) == 0 {
		return
	}
	if share, granted := req.snapshot.canaryShare(req.service, p.clock.Monotonic()); granted {
		req.canaryEligible = p.canaryAllowance(req.service).Take(share.Number, share.Fraction, req.route.Name)
	}
}

func (p *proxy) canaryAllowance(service string) *balancer.CanaryAllowance {
	allowance, _ := p.canaryAllowances.LoadOrStore(service, &balancer.CanaryAllowance{})
	return allowance.(*balancer.CanaryAllowance)
}

// mayUseCanary reports whether the next attempt may go to the canary version. The
// request must have been admitted and the grant must still be valid. Only the first
// attempt may go there until the canary has all traffic.
func (d *forwarder) mayUseCanary(s *snapshot) bool {
	if !d.request.canaryEligible {
		return false
	}
	share, granted := s.canaryShare(d.request.service, d.clock.Monotonic())
	return granted && (len(d.tried) == 0 || share.Fraction >= 1)
}

// recordOutcome counts the outcome of an attempt for its server and for the canary
// that it belongs to.
func (d *forwarder) recordOutcome(server *balancer.Endpoint, mark outlier.Label, response *upstream.Response, err error, latency, usualLatency time.Duration) {
	outcome := outlier.Success
	warming := server.WarmupRemaining(d.clock.Wall()) > 0
	slow := usualLatency > 0 && latency > max(slowFactor*usualLatency, slowMin)
	var netErr net.Error
	switch {
	case err != nil && errors.Is(err, upstream.ErrNotSent):
		return
	case err != nil && errors.As(err, &netErr) && netErr.Timeout():
		outcome = outlier.Slow
	case err != nil:
		outcome = outlier.Broken
	case response.IsNotExecuted():
		return
	case response.Status == http.StatusInternalServerError || response.Status == http.StatusBadGateway || response.Status == http.StatusServiceUnavailable:
		outcome = outlier.Failed
	case slow || response.Status == http.StatusGatewayTimeout:
		outcome = outlier.Slow
	}
	relativeLatency := 0.0
	if usualLatency > 0 && !warming {
		relativeLatency = float64(latency) / float64(usualLatency)
	}
	d.outcomes.RecordServer(server.ID, outcome, relativeLatency)
	if mark.Number > 0 && (outcome != outlier.Slow || !warming) {
		d.outcomes.Record(mark, outcome)
	}
}

// canaryMark identifies the canary that was active when an attempt was sent. The
// outcome of the attempt counts for it.
func (d *forwarder) canaryMark(server *balancer.Endpoint) (mark outlier.Label) {
	if share, granted := d.snapshot.Load().canaryShare(d.request.service, d.clock.Monotonic()); granted {
		mark = outlier.Label{Subject: d.request.service, Number: share.Number, Route: d.request.route.Name, OnTrial: server.Admission == feed.Canary}
	}
	return mark
}

// reportPeriodically sends the counts to the leader: in every period while
// there is a canary, a staged change, overload or a lack of slots, and less often
// otherwise.
func (p *proxy) reportPeriodically(ctx context.Context) {
	periods := 0
	clock.Every(ctx, reportPeriod, func() {
		periods++
		s := p.snapshot.Load()
		overloaded := p.updateLocalController()
		if s.leader == "" || len(s.canaryShares)+len(s.stagedChanges) == 0 && !p.needsSlots() && !overloaded && periods%idleReportPeriods > 0 {
			return
		}
		conf, sentAt := p.settings.Load(), p.clock.Monotonic()
		evidence := p.outcomes.Report(conf.Platform.NodeName, p.incarnation)
		evidence.Term, evidence.Count = s.fleetVersion.Term, s.fleetVersion.Count
		for _, share := range s.canaryShares {
			evidence.InFlight = append(evidence.InFlight, outlier.InFlight{Subject: share.Service, Requests: s.balancer.InFlight(share.Service)})
		}
		report := messages.ProxyReport{Evidence: evidence, Zone: conf.Platform.Zone}
		if conf.Tuning.CapacityLeases != settings.CapacityLeasesOff {
			report.Uses = p.siteCapacity.Usages()
		}
		report.Loads, report.Mirrors = p.takeLoads(), p.trafficMirror.tallies()
		client := p.connection(s.leader)
		go func() {
			var answer messages.ProxyReportResponse
			if client.Call(messages.KindProxyReport, report, &answer, reportTimeout) == nil {
				p.noteReportAnswer()
				p.siteCapacity.Apply(answer.CapacityLeases, sentAt)
			}
		}()
	})
}
