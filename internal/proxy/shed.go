package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/upstream"
)

// leaderSilenceLimit is how long the leader may leave reports unanswered
// before a node applies the cutoffs of its local controller.
const leaderSilenceLimit = 3 * time.Second

// loadShedder decides which requests are rejected because their service is
// overloaded.
type loadShedder struct {
	counter *shedding.Counter
	// lock guards localController, pending and lastReportAnswer.
	lock            sync.Mutex
	localController *shedding.Controller
	pending         []shedding.Load
	// lastReportAnswer is when the leader last answered a report.
	lastReportAnswer clock.Instant
}

func newLoadShedder(clock clock.Clock) *loadShedder {
	// All nodes use the same seed, so nodes that apply their local controllers differ
	// in how much they reject, but hardly in which clients.
	return &loadShedder{counter: shedding.NewCounter(), localController: shedding.NewController(clock, func() uint64 { return 0 })}
}

func (p *proxy) sheddingEnabled() bool {
	return p.settings.Load().Tuning.SharedCutoff == settings.SharedCutoffOn
}

// activeCutoffs returns the cutoffs in force: those of the leader while its
// grant is valid, or those of the local controller once the leader has been silent
// for leaderSilenceLimit.
func (p *proxy) activeCutoffs(s *snapshot) (cutoffs []shedding.Cutoff, local bool) {
	now := p.clock.Monotonic()
	if len(s.cutoffs) > 0 && s.grantsValid(now) {
		return s.cutoffs, false
	}
	p.shedder.lock.Lock()
	defer p.shedder.lock.Unlock()
	if time.Duration(now-p.shedder.lastReportAnswer) < leaderSilenceLimit {
		return nil, false
	}
	return p.shedder.localController.Cutoffs(), true
}

// checkOverload returns an error if a cutoff rejects the request. It rejects no
// request with an idempotency key: for those the control-plane members decide when
// the intent is created, so the decision is the same whichever node asks and a key
// that has an intent is never rejected.
func (p *proxy) checkOverload(req *clientRequest) error {
	if !p.sheddingEnabled() {
		return nil
	}
	tier, rejected := req.route.Tier, false
	if req.route.RouteType != config.Idempotent {
		cutoffs, _ := p.activeCutoffs(req.snapshot)
		for _, cutoff := range cutoffs {
			rejected = rejected || cutoff.Service == req.service && cutoff.Sheds(tier, req.shedNames()...)
		}
	}
	p.shedder.counter.CountRequest(req.service, tier, req.route.RouteType == config.Idempotent, rejected)
	if rejected {
		return req.overloadError()
	}
	return nil
}

// shedNames returns the tenant and the client that a cutoff hashes for a request
// without an idempotency key.
func (i *clientRequest) shedNames() []string {
	if header := i.snapshot.routingTable.Plan.Conversation; header != "" {
		if value := i.Header.Get(header); value != "" {
			return []string{i.route.Host, value}
		}
	}
	return []string{i.route.Host, i.clientAddress, i.Target}
}

// overloadError is the error of a rejected request. Its Retry-After is spread over
// the target latency of the route, so that clients do not all retry at once.
func (i *clientRequest) overloadError() error {
	target := i.route.TargetLatency.Std()
	if target == 0 {
		target = apierror.ResponseFor(apierror.LoadShed).RetryAfter
	}
	retryAfter := target/2 + time.Duration(shedding.HashFraction(1, i.Attempt)*float64(target))
	return &apierror.Error{Kind: apierror.LoadShed, Detail: i.service, RetryAfter: retryAfter.Round(time.Millisecond)}
}

// clientAddress returns the client's address without the port.
func clientAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// lateFactor is the multiple of the base latency that a response must exceed to
// count as late.
const lateFactor = 2

// countLoad counts what the end of an attempt shows about the load of its service.
func (d *forwarder) countLoad(server *balancer.Endpoint, response *upstream.Response, err error, latency time.Duration) {
	if !d.sheddingEnabled() || err != nil || response.Status == http.StatusMisdirectedRequest {
		return
	}
	outcome, route := shedding.InTime, d.request.route
	switch {
	case response.IsNotExecuted():
		outcome = shedding.Rejected
	case route.RouteType == config.Download:
		// The duration of a download depends on this node's link more than on the
		// service.
	case route.TargetLatency > 0 && latency > max(route.TargetLatency.Std(), lateFactor*d.stats.base()):
		outcome = shedding.Late
	}
	d.shedder.counter.CountAttempt(d.request.service, route.Tier, server.ID, outcome)
	d.outcomes.RecordLoad(server.ID, outcome != shedding.InTime)
}

// updateLocalController feeds the counts since the last call to the local controller and reports
// whether any of them shows overload.
func (p *proxy) updateLocalController() (overloaded bool) {
	if !p.sheddingEnabled() {
		return false
	}
	loads, overloaded := p.shedder.counter.Take()
	p.shedder.lock.Lock()
	defer p.shedder.lock.Unlock()
	p.shedder.pending = shedding.Sum(p.shedder.pending, loads)
	p.shedder.localController.Add("", loads)
	p.shedder.localController.Decide(p.shedder.counter.OverloadedShare)
	return overloaded
}

// takeLoads returns the loads not yet reported and clears them.
func (p *proxy) takeLoads() []shedding.Load {
	p.shedder.lock.Lock()
	defer p.shedder.lock.Unlock()
	loads := p.shedder.pending
	p.shedder.pending = nil
	return loads
}

func (p *proxy) noteReportAnswer() {
	p.shedder.lock.Lock()
	defer p.shedder.lock.Unlock()
	p.shedder.lastReportAnswer = p.clock.Monotonic()
}
