package points

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/bandwidth"
	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/upstream"
)

// openEnd is the error of a delivery that may have run. The late channel, if
// there is one, tells what is shown of it later.
type openEnd struct {
	kind apierror.Kind
	late chan lateEnd
}

// Error names the kind.
func (o *openEnd) Error() string { return apierror.New(o.kind, "").Error() }

const (
	serverConnect = 250 * time.Millisecond
	lateSafe      = 200 * time.Millisecond
	lateKeyed     = 2 * time.Second
	unsentLimit   = 3
	// recordedMost is how long a reply may be to be kept in an operation's record.
	recordedMost = 32 << 20
)

// admitting picks the lane's service and refuses at once what nobody can serve.
func (p *proxy) admitting(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		one := request.(*inquiry)
		one.service = one.lane.Pick(rand.Float64())
		p.budget(one.service).Ask()
		one.takePlace()
		if err := p.shed(one); err != nil {
			return nil, err
		}
		p.admitTrial(one)
		if one.sight.yard.Ready(one.service) == 0 {
			return nil, apierror.New(apierror.NoServer, one.service)
		}
		return next(ctx, request)
	}
}

// result is how one try at one server ended.
type result struct {
	siding *balancer.Siding
	reply  *upstream.Response
	err    error
}

// delivery is one inquiry's tries at servers.
type delivery struct {
	*proxy
	one     *inquiry
	pace    *pace
	results chan result
	passed  []*balancer.Siding
	flying  int
	sent    int
	unsent  int
	// fallback is what the client gets if no further try does better.
	fallback *upstream.Response
	// isOpen: a try that may not be repeated was sent, and its outcome is not
	// known.
	isOpen bool
	// leave ends the note of a placed operation, once its last try has ended.
	leave func()
	// places are the places taken at the tries' sites.
	places *sync.Map
	// left ends when nobody waits any more.
	left context.Context
}

// delivering sends the inquiry to a server, and to another where the lane, the
// budget and what is known of the first allow it.
func (p *proxy) delivering(ctx context.Context, request any) (any, error) {
	one := request.(*inquiry)
	d := &delivery{proxy: p, one: one, pace: p.paceOf(one.lane.Name), leave: p.enter(one), places: &sync.Map{}, left: leaving(ctx, one)}
	d.results = make(chan result, one.lane.MaxAttempts+unsentLimit+1)
	defer d.sweep()
	if !d.launch() {
		return nil, apierror.New(apierror.Busy, one.service)
	}
	due := time.NewTimer(time.Until(one.due))
	defer due.Stop()
	var hedge <-chan time.Time
	if one.lane.IsRepeatable() && one.lane.MaxAttempts > 1 {
		alarm := time.NewTimer(d.pace.patience(one.lane.TargetLatency.Std()))
		defer alarm.Stop()
		hedge = alarm.C
	}
	for {
		select {
		case got := <-d.results:
			d.flying--
			if reply, err, isEnd := d.judge(got); isEnd {
				return reply, err
			}
		case <-hedge:
			hedge = nil
			d.again()
		case <-d.left.Done():
			return nil, errLeft
		case <-due.C:
			return nil, d.late()
		}
	}
}

// judge looks at the end of one try: either it ends the inquiry, or another try
// was launched or is still flying.
func (d *delivery) judge(got result) (reply any, err error, isEnd bool) {
	isRepeatable := d.one.lane.IsRepeatable()
	kind := apierror.Broken
	switch {
	case got.err != nil && errors.Is(got.err, upstream.ErrNotServing):
		if d.replace() {
			return nil, nil, false
		}
		if d.sent == 0 && d.flying == 0 {
			kind = apierror.NotExecuted
		}
	case got.err != nil && errors.Is(got.err, upstream.ErrNotSent):
		if d.sent--; d.sent == 0 && d.flying == 0 {
			kind = apierror.NotExecuted
		}
		if d.unsent++; d.unsent <= unsentLimit && d.flying == 0 && d.launch() {
			return nil, nil, false
		}
	case got.err != nil:
		d.isOpen = d.isOpen || !isRepeatable
		if d.isOpen && !d.dedupes() {
			return nil, &openEnd{kind: apierror.Broken}, true
		}
	case got.reply.IsNotExecuted():
		kind = apierror.NotExecuted
		got.reply.Finish(false)
	case !isRepeatable && isPromise(got.reply.Status):
		// Without Not-Executed it may have run, and the status would say it did not.
		return nil, &openEnd{kind: apierror.Broken}, true
	case !isRepeatable || got.reply.Status/100 != 5:
		return got.reply, nil, true
	default:
		d.fallback = got.reply
	}
	if d.flying > 0 || d.again() {
		return nil, nil, false
	}
	if d.fallback != nil && !isPromise(d.fallback.Status) {
		return d.fallback, nil, true
	}
	if d.isOpen {
		// An earlier try may have run: nothing that came later undoes that.
		return nil, &openEnd{kind: apierror.Broken}, true
	}
	return nil, apierror.New(kind, ""), true
}

func (d *delivery) dedupes() bool {
	return d.one.sight.sheet.Services[d.one.service].IdempotentDedup && d.one.key.Key != ""
}

// again launches one more try if lane, time and budget allow it.
func (d *delivery) again() bool {
	if d.sent >= d.one.lane.MaxAttempts || time.Until(d.one.due) < d.pace.mean() {
		return false
	}
	siding := d.choose()
	if siding == nil {
		return false
	}
	if !d.budget(d.one.service).Spend() {
		d.vacate(siding)
		return false
	}
	d.send(siding)
	return true
}

// launch makes a try that the budget need not pay.
func (d *delivery) launch() bool {
	siding := d.choose()
	if siding != nil {
		d.send(siding)
	}
	return siding != nil
}

func (d *delivery) send(siding *balancer.Siding) {
	d.passed = append(d.passed, siding)
	d.flying++
	d.sent++
	siding.Begin()
	d.sentTo(d.one, siding.ID)
	go d.run(siding, d.mark(siding))
}

// run makes one try, to its end, whether the client still waits or not.
func (d *delivery) run(siding *balancer.Siding, mark outlier.Mark) {
	late, buffer := lateSafe, int64(d.set.Load().Tuning.BufferBytes)
	if !d.one.lane.IsRepeatable() {
		late, buffer = lateKeyed, max(buffer, d.one.sight.sheet.Limits.MaxBodyBytes)
	}
	if d.one.lane.RouteType == config.Idempotent {
		buffer = max(buffer, recordedMost)
	}
	passOn := int64(0)
	if d.one.lane.RouteType == config.Download && d.in.IsNarrow() {
		// Checked whole first, it would take the link's time twice.
		passOn = bandwidth.BulkLeast
	}
	began := d.clock.Steady()
	reply, err := siding.Rack.Deliver(upstream.Delivery{
		Request: d.one.Request, ClientContext: d.breaking(), Deadline: d.one.due, ResponseDeadline: d.one.due.Add(late), ConnectTimeout: serverConnect, BufferLimit: buffer, StreamThreshold: passOn, Inbound: d.in, Outbound: d.out,
		Serving: func() bool { return d.isServing(siding) }, MaySend: d.one.maySend,
	})
	now := d.clock.Steady()
	took := time.Duration(now - began)
	usual := d.pace.mean()
	if !d.isBrokenOff(err) {
		d.testify(siding, mark, reply, err, took, usual)
		d.strainOf(siding, reply, err, took)
	}
	outcome := d.outcomeOf(reply, err)
	if outcome == balancer.Served {
		d.pace.learn(took, reply.Length)
	}
	d.vacate(siding)
	siding.End(outcome, took, usual, now)
	d.results <- result{siding, reply, err}
}
