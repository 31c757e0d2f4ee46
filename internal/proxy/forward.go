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
	"ploverhitch/internal/upstream"
)

// unresolvedError reports a forwarded request that a server may have executed.
// lateResult, if set, delivers what the attempts reveal after the client was answered.
type unresolvedError struct {
	kind       apierror.Kind
	lateResult chan lateResult
}

// Error returns the text of the error's kind.
func (e *unresolvedError) Error() string { return apierror.New(e.kind, "").Error() }

const (
	serverConnectTimeout = 250 * time.Millisecond
	// The late waits are how long an attempt waits for its response past the
	// request's deadline, on routes that may and may not be executed repeatedly.
	repeatableLateWait   = 200 * time.Millisecond
	unrepeatableLateWait = 2 * time.Second
	maxUnsentRetries     = 3
	// maxRecordedBytes bounds the responses that are stored for replay.
	maxRecordedBytes = 32 << 20
	// maxBufferedBytes bounds the responses to requests that are not repeatable that are buffered
	// because MaxBodyBytes allows as much. Longer ones are streamed.
	maxBufferedBytes = 64 << 20
)

// admissionMiddleware selects the route's service and rejects a request at once when
// it is shed or when the service has no ready server.
func (p *proxy) admissionMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*clientRequest)
		req.service = req.route.Pick(rand.Float64())
		p.retryBudget(req.service).RecordRequest()
		req.setRingPosition()
		if err := p.checkOverload(req); err != nil {
			return nil, err
		}
		p.admitToCanary(req)
		if req.snapshot.balancer.ReadyCount(req.service) == 0 {
			return nil, apierror.New(apierror.NoServer, req.service)
		}
		return next(ctx, request)
	}
}

// forwarder makes the attempts of one client request.
type forwarder struct {
	*proxy
	request *clientRequest
	stats   *responseStats
	// results is unbuffered: the result of every attempt in flight is received, by forward
	// or by what outlives it (drainAttempts, deadlineExceeded).
	results     chan attemptResult
	tried       []*balancer.Endpoint
	inFlight    int
	sentCount   int
	unsentCount int
	// fallback is the response to return if no other attempt yields a better one.
	fallback *upstream.Response
	// unresolved: an unrepeatable attempt was sent and its outcome is unknown.
	unresolved bool
	// untrack ends the tracking of a ring-placed request after its last attempt.
	untrack func()
	// siteReservations holds the release functions of capacity reserved at servers' sites.
	siteReservations *sync.Map
	// clientCtx ends when no client waits for the response any more.
	clientCtx context.Context
}

// forward sends the request to a server. It hedges or retries at another server where
// the route, the retry budget and the result of the first attempt allow it.
func (p *proxy) forward(ctx context.Context, request any) (any, error) {
	req := request.(*clientRequest)
	d := &forwarder{proxy: p, request: req, stats: p.responseStatsOf(req.route.Name), untrack: p.trackOperation(req), siteReservations: &sync.Map{}, clientCtx: deliveryContext(ctx, req), results: make(chan attemptResult)}
	defer d.drainAttempts()
	if !d.startAttempt() {
		return nil, apierror.New(apierror.ServersBusy, req.service)
	}
	deadlineTimer := time.NewTimer(time.Until(req.deadline))
	defer deadlineTimer.Stop()
	var hedge <-chan time.Time
	if req.route.Repeatable() && req.route.MaxAttempts > 1 {
		hedgeTimer := time.NewTimer(d.stats.hedgeDelay(req.route.TargetLatency.Std()))
		defer hedgeTimer.Stop()
		hedge = hedgeTimer.C
	}
	for {
		select {
		case result := <-d.results:
			d.inFlight--
			if response, err, done := d.handleResult(result); done {
				return response, err
			}
		case <-hedge:
			hedge = nil
			d.retry()
		case <-d.clientCtx.Done():
			return nil, errClientGone
		case <-deadlineTimer.C:
			return nil, d.deadlineExceeded()
		}
	}
}

// handleResult evaluates the result of one attempt. done reports that it ends the
// request; otherwise another attempt was started or is still in flight.
func (d *forwarder) handleResult(result attemptResult) (response any, err error, done bool) {
	repeatable := d.request.route.Repeatable()
	kind := apierror.ResponseInterrupted
	switch {
	case result.err != nil && errors.Is(result.err, upstream.ErrNotServing):
		if d.replaceAttempt() {
			return nil, nil, false
		}
		if d.sentCount == 0 && d.inFlight == 0 {
			kind = apierror.NotExecuted
		}
	case result.err != nil && errors.Is(result.err, upstream.ErrNotSent):
		if d.sentCount--; d.sentCount == 0 && d.inFlight == 0 {
			kind = apierror.NotExecuted
		}
		if d.unsentCount++; d.unsentCount <= maxUnsentRetries && d.inFlight == 0 && d.startAttempt() {
			return nil, nil, false
		}
	case result.err != nil:
		d.unresolved = d.unresolved || !repeatable
		if d.unresolved && !d.serverDeduplicates() {
			return nil, &unresolvedError{kind: apierror.ResponseInterrupted}, true
		}
	case result.response.IsNotExecuted():
		kind = apierror.NotExecuted
		result.response.Finish(false)
	case !repeatable && impliesNotExecuted(result.response.Status):
		// Without a Not-Executed header the request may have run, although the status
		// says that it did not.
		return nil, &unresolvedError{kind: apierror.ResponseInterrupted}, true
	case !repeatable || result.response.Status/100 != 5:
		return result.response, nil, true
	default:
		d.fallback = result.response
	}
	if d.inFlight > 0 || d.retry() {
		return nil, nil, false
	}
	if d.fallback != nil && !impliesNotExecuted(d.fallback.Status) {
		return d.fallback, nil, true
	}
	if d.unresolved {
		// An earlier attempt may have run; later results do not change that.
		return nil, &unresolvedError{kind: apierror.ResponseInterrupted}, true
	}
	return nil, apierror.New(kind, ""), true
}

// serverDeduplicates reports whether the service deduplicates by operation key, so that
// a keyed request may be sent again.
func (d *forwarder) serverDeduplicates() bool {
	return d.request.snapshot.routingTable.Services[d.request.service].IdempotentDedup && d.request.key.Key != ""
}

// retry starts another attempt if the route, the remaining time and the retry budget
// allow it.
func (d *forwarder) retry() bool {
	if d.sentCount >= int(d.request.route.MaxAttempts) || time.Until(d.request.deadline) < d.stats.mean() {
		return false
	}
	server := d.chooseServer()
	if server == nil {
		return false
	}
	if !d.retryBudget(d.request.service).TakeRetry() {
		d.releaseSlot(server)
		return false
	}
	d.send(server)
	return true
}

// startAttempt starts an attempt that is not charged to the retry budget.
func (d *forwarder) startAttempt() bool {
	server := d.chooseServer()
	if server != nil {
		d.send(server)
	}
	return server != nil
}
