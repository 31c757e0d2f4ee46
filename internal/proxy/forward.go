package proxy

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
type unresolvedError struct {
	kind       apierror.Kind
	lateResult chan lateEnd
}

// Error names the kind.
func (o *unresolvedError) Error() string { return apierror.New(o.kind, "").Error() }

const (
	serverConnectTimeout = 250 * time.Millisecond
	repeatableLateWait   = 200 * time.Millisecond
	unrepeatableLateWait = 2 * time.Second
	maxUnsentRetries     = 3
	// recordedMost is how long a reply may be to be kept in an operation's record.
	maxRecordedBytes = 32 << 20
)

// admitting picks the lane's service and refuses at once what nobody can serve.
func (p *proxy) admissionMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		one := request.(*clientRequest)
		one.service = one.route.Pick(rand.Float64())
		p.retryBudget(one.service).Ask()
		one.setRingPosition()
		if err := p.shed(one); err != nil {
			return nil, err
		}
		p.admitTrial(one)
		if one.snapshot.balancer.Ready(one.service) == 0 {
			return nil, apierror.New(apierror.NoServer, one.service)
		}
		return next(ctx, request)
	}
}

// result is how one try at one server ended.
type attemptResult struct {
	server   *balancer.Siding
	response *upstream.Reply
	err      error
}

// delivery is one inquiry's tries at servers.
type forwarder struct {
	*proxy
	request     *clientRequest
	stats       *pace
	results     chan attemptResult
	tried       []*balancer.Siding
	inFlight    int
	sentCount   int
	unsentCount int
	// fallback is what the client gets if no further try does better.
	fallback *upstream.Reply
	// isOpen: a try that may not be repeated was sent, and its outcome is not
	// known.
	unresolved bool
	// leave ends the note of a placed operation, once its last try has ended.
	untrack func()
	// places are the places taken at the tries' sites.
	siteReservations *sync.Map
	// left ends when nobody waits any more.
	clientCtx context.Context
}

// delivering sends the inquiry to a server, and to another where the lane, the
// budget and what is known of the first allow it.
func (p *proxy) forward(ctx context.Context, request any) (any, error) {
	one := request.(*clientRequest)
	d := &forwarder{proxy: p, request: one, stats: p.paceOf(one.route.Name), untrack: p.enter(one), siteReservations: &sync.Map{}, clientCtx: leaving(ctx, one)}
	d.results = make(chan attemptResult, one.route.MaxAttempts+maxUnsentRetries+1)
	defer d.sweep()
	if !d.startAttempt() {
		return nil, apierror.New(apierror.Busy, one.service)
	}
	due := time.NewTimer(time.Until(one.deadline))
	defer due.Stop()
	var hedge <-chan time.Time
	if one.route.IsRepeatable() && one.route.MaxAttempts > 1 {
		alarm := time.NewTimer(d.stats.patience(one.route.TargetLatency.Std()))
		defer alarm.Stop()
		hedge = alarm.C
	}
	for {
		select {
		case got := <-d.results:
			d.inFlight--
			if reply, err, isEnd := d.handleResult(got); isEnd {
				return reply, err
			}
		case <-hedge:
			hedge = nil
			d.retry()
		case <-d.clientCtx.Done():
			return nil, errLeft
		case <-due.C:
			return nil, d.late()
		}
	}
}

// judge looks at the end of one try: either it ends the inquiry, or another try
// was launched or is still flying.
func (d *forwarder) handleResult(got attemptResult) (reply any, err error, isEnd bool) {
	isRepeatable := d.request.route.IsRepeatable()
	kind := apierror.Broken
	switch {
	case got.err != nil && errors.Is(got.err, upstream.ErrServerLeft):
		if d.replaceAttempt() {
			return nil, nil, false
		}
		if d.sentCount == 0 && d.inFlight == 0 {
			kind = apierror.NotExecuted
		}
	case got.err != nil && errors.Is(got.err, upstream.ErrNotSent):
		if d.sentCount--; d.sentCount == 0 && d.inFlight == 0 {
			kind = apierror.NotExecuted
		}
		if d.unsentCount++; d.unsentCount <= maxUnsentRetries && d.inFlight == 0 && d.startAttempt() {
			return nil, nil, false
		}
	case got.err != nil:
		d.unresolved = d.unresolved || !isRepeatable
		if d.unresolved && !d.serverDeduplicates() {
			return nil, &unresolvedError{kind: apierror.Broken}, true
		}
	case got.response.IsNotExecuted():
		kind = apierror.NotExecuted
		got.response.Finish(false)
	case !isRepeatable && isPromise(got.response.Status):
		// Without Not-Executed it may have run, and the status would say it did not.
		return nil, &unresolvedError{kind: apierror.Broken}, true
	case !isRepeatable || got.response.Status/100 != 5:
		return got.response, nil, true
	default:
		d.fallback = got.response
	}
	if d.inFlight > 0 || d.retry() {
		return nil, nil, false
	}
	if d.fallback != nil && !isPromise(d.fallback.Status) {
		return d.fallback, nil, true
	}
	if d.unresolved {
		// An earlier try may have run: nothing that came later undoes that.
		return nil, &unresolvedError{kind: apierror.Broken}, true
	}
	return nil, apierror.New(kind, ""), true
}

func (d *forwarder) serverDeduplicates() bool {
	return d.request.snapshot.manifest.Services[d.request.service].IdempotentDedup && d.request.key.Key != ""
}

// again launches one more try if lane, time and budget allow it.
func (d *forwarder) retry() bool {
	if d.sentCount >= d.request.route.MaxAttempts || time.Until(d.request.deadline) < d.stats.mean() {
		return false
	}
	siding := d.choose()
	if siding == nil {
		return false
	}
	if !d.retryBudget(d.request.service).Spend() {
		d.vacate(siding)
		return false
	}
	d.send(siding)
	return true
}

// launch makes a try that the budget need not pay.
func (d *forwarder) startAttempt() bool {
	siding := d.choose()
	if siding != nil {
		d.send(siding)
	}
	return siding != nil
}

func (d *forwarder) send(siding *balancer.Siding) {
	d.tried = append(d.tried, siding)
	d.inFlight++
	d.sentCount++
	siding.Begin()
	d.sentTo(d.request, siding.ID)
	go d.runAttempt(siding, d.mark(siding))
}

// run makes one try, to its end, whether the client still waits or not.
func (d *forwarder) runAttempt(siding *balancer.Siding, mark outlier.Mark) {
	late, buffer := repeatableLateWait, int64(d.settings.Load().Tuning.BufferBytes)
	if !d.request.route.IsRepeatable() {
		late, buffer = unrepeatableLateWait, max(buffer, d.request.snapshot.manifest.Limits.MaxBodyBytes)
	}
	if d.request.route.RouteType == config.Idempotent {
		buffer = max(buffer, maxRecordedBytes)
	}
	passOn := int64(0)
	if d.request.route.RouteType == config.Download && d.inbound.IsNarrow() {
		// Checked whole first, it would take the link's time twice.
		passOn = bandwidth.BulkLeast
	}
	began := d.clock.Steady()
	reply, err := siding.Rack.Deliver(upstream.Order{
		Inquiry: d.request.Inquiry, Left: d.breaking(), Due: d.request.deadline, Last: d.request.deadline.Add(late), Connect: serverConnectTimeout, Buffer: buffer, PassOn: passOn, In: d.inbound, Out: d.outbound,
		IsServing: func() bool { return d.acceptsRequests(siding) }, MaySend: d.request.maySend,
	})
	now := d.clock.Steady()
	took := time.Duration(now - began)
	usual := d.stats.mean()
	if !d.isBrokenOff(err) {
		d.testify(siding, mark, reply, err, took, usual)
		d.strainOf(siding, reply, err, took)
	}
	outcome := d.serverOutcome(reply, err)
	if outcome == balancer.Served {
		d.stats.learn(took, reply.Length)
	}
	d.vacate(siding)
	siding.End(outcome, took, usual, now)
	d.results <- attemptResult{siding, reply, err}
}
