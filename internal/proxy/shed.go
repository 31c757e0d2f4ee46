package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

// aloneSpan is after how long without a word from the holder of the duty a node
// goes by its own measure.
const holderSilenceLimit = 3 * time.Second

// gate decides what is turned away because its service is overloaded.
type loadShedder struct {
	counter *shedding.Counter
	// lock guards the node's own measure, and the loads that wait to be reported.
	lock       sync.Mutex
	localGauge *shedding.Gauge
	pending    []shedding.Load
	// heardAt is when the holder answered a report last.
	lastReportAnswer timetable.Steady
}

func newLoadShedder(clock timetable.Clock) *loadShedder {
	// The floor's seed is the same at all nodes, so that nodes which go by their
	// own measures differ in how much they turn away, and hardly in whom.
	return &loadShedder{counter: shedding.NewCounter(), localGauge: shedding.NewGauge(clock, func() uint64 { return 0 })}
}

func (p *proxy) sheddingEnabled() bool { return p.set.Load().Tuning.Loadgauge == settings.GaugeOn }

// cutoffs are those in force: the holder's while its grant holds, or else, after
// a silence of the core, the node's own floor.
func (p *proxy) activeCutoffs(s *sight) (cutoffs []shedding.Cutoff, isLocal bool) {
	now := p.clock.Steady()
	if len(s.cutoffs) > 0 && s.grantsValid(now) {
		return s.cutoffs, false
	}
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	if time.Duration(now-p.gate.lastReportAnswer) < holderSilenceLimit {
		return nil, false
	}
	return p.gate.localGauge.Cutoffs(), true
}

// shed tells whether the inquiry is turned away by the cutoff. Whether a keyed
// operation is, the core's members say when its intent is to be created: the
// same whichever node asks, and never of one that has an intent.
func (p *proxy) checkOverload(req *inquiry) error {
	if !p.sheddingEnabled() {
		return nil
	}
	tier, rejected := req.lane.Tier, false
	if req.lane.RouteType != config.Idempotent {
		cutoffs, _ := p.activeCutoffs(req.sight)
		for _, cutoff := range cutoffs {
			rejected = rejected || cutoff.Service == req.service && cutoff.Sheds(tier, req.shedNames()...)
		}
	}
	p.gate.counter.Offer(req.service, tier, req.lane.RouteType == config.Idempotent, rejected)
	if rejected {
		return req.overloadError()
	}
	return nil
}

// names are what an inquiry that bears no key goes by: its tenant and its client.
func (i *inquiry) shedNames() []string {
	if header := i.sight.sheet.Plan.Conversation; header != "" {
		if value := i.Header.Get(header); value != "" {
			return []string{i.lane.Host, value}
		}
	}
	return []string{i.lane.Host, i.client, i.Target}
}

// comeBack is the refusal of a tier that waits: at once, with a time to come back
// that is spread over the lane's aim, so that they do not all come at once.
func (i *inquiry) overloadError() error {
	target := i.lane.TargetLatency.Std()
	if target == 0 {
		target = apierror.AnswerOf(apierror.Shed).RetryAfter
	}
	retryAfter := target/2 + time.Duration(shedding.Draw(1, i.Attempt)*float64(target))
	return &apierror.Error{Kind: apierror.Shed, Detail: i.service, After: retryAfter.Round(time.Millisecond)}
}

// clientOf is the address of an inquiry's client, without its port.
func clientAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// lateTimes is how many times its usual a late reply takes at least.
const lateFactor = 2

// strainOf counts what the end of a try shows of the service's load.
func (d *delivery) countLoad(server *balancer.Siding, response *upstream.Reply, err error, latency time.Duration) {
	if !d.sheddingEnabled() || err != nil || response.Status == http.StatusMisdirectedRequest {
		return
	}
	outcome, route := shedding.InTime, d.one.lane
	switch {
	case response.IsNotExecuted():
		outcome = shedding.Turned
	case route.RouteType == config.Download:
		// How long bulk takes says more of this node's link than of the service.
	case route.TargetLatency > 0 && latency > max(route.TargetLatency.Std(), lateFactor*d.pace.base()):
		outcome = shedding.Late
	}
	d.gate.counter.Try(d.one.service, route.Tier, server.ID, outcome)
	d.box.NoteStrain(server.ID, outcome != shedding.InTime)
}

// measure takes what was counted into the node's own measure, and tells whether
// anything shows a strain.
func (p *proxy) updateGauge() (overloaded bool) {
	if !p.sheddingEnabled() {
		return false
	}
	loads, overloaded := p.gate.counter.Take()
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	p.gate.pending = shedding.Sum(p.gate.pending, loads)
	p.gate.localGauge.Hear("", loads)
	p.gate.localGauge.Decide(p.gate.counter.Strained)
	return overloaded
}

// loads are what is reported now.
func (p *proxy) takeLoads() []shedding.Load {
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	loads := p.gate.pending
	p.gate.pending = nil
	return loads
}

func (p *proxy) noteReportAnswer() {
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	p.gate.lastReportAnswer = p.clock.Steady()
}
