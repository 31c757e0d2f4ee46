package points

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
const aloneSpan = 3 * time.Second

// gate decides what is turned away because its service is overloaded.
type gate struct {
	counter *shedding.Counter
	// lock guards the node's own measure, and the loads that wait to be reported.
	lock    sync.Mutex
	floor   *shedding.Gauge
	pending []shedding.Load
	// heardAt is when the holder answered a report last.
	heardAt timetable.Steady
}

func newGate(clock timetable.Clock) *gate {
	// The floor's seed is the same at all nodes, so that nodes which go by their
	// own measures differ in how much they turn away, and hardly in whom.
	return &gate{counter: shedding.NewCounter(), floor: shedding.NewGauge(clock, func() uint64 { return 0 })}
}

func (p *proxy) isGauging() bool { return p.set.Load().Tuning.Loadgauge == settings.GaugeOn }

// cutoffs are those in force: the holder's while its grant holds, or else, after
// a silence of the core, the node's own floor.
func (p *proxy) cutoffs(s *sight) (out []shedding.Cutoff, isFloor bool) {
	now := p.clock.Steady()
	if len(s.cutoffs) > 0 && s.holdsGrants(now) {
		return s.cutoffs, false
	}
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	if time.Duration(now-p.gate.heardAt) < aloneSpan {
		return nil, false
	}
	return p.gate.floor.Cutoffs(), true
}

// shed tells whether the inquiry is turned away by the cutoff. Whether a keyed
// operation is, the core's members say when its intent is to be created: the
// same whichever node asks, and never of one that has an intent.
func (p *proxy) shed(one *inquiry) error {
	if !p.isGauging() {
		return nil
	}
	tier, isShed := one.lane.Tier, false
	if one.lane.RouteType != config.Idempotent {
		cutoffs, _ := p.cutoffs(one.sight)
		for _, cutoff := range cutoffs {
			isShed = isShed || cutoff.Service == one.service && cutoff.Sheds(tier, one.names()...)
		}
	}
	p.gate.counter.Offer(one.service, tier, one.lane.RouteType == config.Idempotent, isShed)
	if isShed {
		return one.comeBack()
	}
	return nil
}

// names are what an inquiry that bears no key goes by: its tenant and its client.
func (i *inquiry) names() []string {
	if header := i.sight.sheet.Plan.Conversation; header != "" {
		if value := i.Header.Get(header); value != "" {
			return []string{i.lane.Host, value}
		}
	}
	return []string{i.lane.Host, i.client, i.Target}
}

// comeBack is the refusal of a tier that waits: at once, with a time to come back
// that is spread over the lane's aim, so that they do not all come at once.
func (i *inquiry) comeBack() error {
	aim := i.lane.TargetLatency.Std()
	if aim == 0 {
		aim = apierror.AnswerOf(apierror.Shed).RetryAfter
	}
	after := aim/2 + time.Duration(shedding.Draw(1, i.Attempt)*float64(aim))
	return &apierror.Error{Kind: apierror.Shed, Detail: i.service, After: after.Round(time.Millisecond)}
}

// clientOf is the address of an inquiry's client, without its port.
func clientOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// lateTimes is how many times its usual a late reply takes at least.
const lateTimes = 2

// strainOf counts what the end of a try shows of the service's load.
func (d *delivery) strainOf(siding *balancer.Siding, reply *upstream.Response, err error, took time.Duration) {
	if !d.isGauging() || err != nil || reply.Status == http.StatusMisdirectedRequest {
		return
	}
	outcome, lane := shedding.InTime, d.one.lane
	switch {
	case reply.IsNotExecuted():
		outcome = shedding.Turned
	case lane.RouteType == config.Download:
		// How long bulk takes says more of this node's link than of the service.
	case lane.TargetLatency > 0 && took > max(lane.TargetLatency.Std(), lateTimes*d.pace.least()):
		outcome = shedding.Late
	}
	d.gate.counter.Try(d.one.service, lane.Tier, siding.ID, outcome)
	d.box.NoteStrain(siding.ID, outcome != shedding.InTime)
}

// measure takes what was counted into the node's own measure, and tells whether
// anything shows a strain.
func (p *proxy) measure() (isStrained bool) {
	if !p.isGauging() {
		return false
	}
	loads, isStrained := p.gate.counter.Take()
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	p.gate.pending = shedding.Sum(p.gate.pending, loads)
	p.gate.floor.Hear("", loads)
	p.gate.floor.Decide(p.gate.counter.Strained)
	return isStrained
}

// loads are what is reported now.
func (p *proxy) loads() []shedding.Load {
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	out := p.gate.pending
	p.gate.pending = nil
	return out
}

func (p *proxy) heard() {
	p.gate.lock.Lock()
	defer p.gate.lock.Unlock()
	p.gate.heardAt = p.clock.Steady()
}
