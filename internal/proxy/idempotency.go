package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/upstream"
)

// keyedAttempt is one attempt of this proxy to execute the operation of one key.
type keyedAttempt struct {
	*proxy
	request *clientRequest
	intent  idempotency.Intent
	round   *idempotency.Round
	// ungranted holds the members that are known to store nothing of this attempt, so
	// that there is nothing to release.
	ungranted map[string]bool
}

// resultHandlers is the replay decision table: it maps the result of the vote round
// to the handling of the request.
var resultHandlers = map[idempotency.Result]func(*keyedAttempt, context.Context, endpoint.Endpoint) (any, error){
	idempotency.Won:             (*keyedAttempt).execute,
	idempotency.Replayable:      (*keyedAttempt).replay,
	idempotency.InProgress:      (*keyedAttempt).awaitOutcome,
	idempotency.RequestMismatch: rejectWith(apierror.KeyConflict),
	idempotency.LimitExceeded:   rejectWith(apierror.TooManyIntents),
	idempotency.NoMajority:      rejectWith(apierror.KeyNotReserved),
	idempotency.Overloaded:      (*keyedAttempt).rejectOverload,
}

// rejectWith returns a handler that fails every request with an error of the kind.
func rejectWith(kind apierror.Kind) func(*keyedAttempt, context.Context, endpoint.Endpoint) (any, error) {
	return func(*keyedAttempt, context.Context, endpoint.Endpoint) (any, error) {
		return nil, apierror.New(kind, "")
	}
}

// idempotencyMiddleware reserves an intent for every request on an idempotent route
// before anything is sent to a server.
func (p *proxy) idempotencyMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*clientRequest)
		if req.route.RouteType != config.Idempotent {
			return next(ctx, request)
		}
		keys := req.Header.Values(upstream.HeaderOperationKey)
		if len(keys) != 1 || keys[0] == "" {
			return nil, apierror.New(apierror.MalformedRequest, "exactly one operation key is required")
		}
		if !p.canKeepOutcomes(req.snapshot.view) {
			return nil, apierror.New(apierror.KeyNotReserved, "too many large outcomes wait for the control nodes")
		}
		req.key = idempotency.Key{Tenant: req.route.Host, Key: keys[0]}
		a := &keyedAttempt{proxy: p, request: req, ungranted: map[string]bool{}}
		attemptID := p.incarnation + "-" + strconv.FormatUint(p.attemptCount.Add(1), 36)
		a.intent = idempotency.Intent{
			Key: req.key, Attempt: idempotency.Attempt(attemptID), RequestHash: idempotency.HashRequest(req.Method, req.Target, req.Body),
			Route: req.route.Name, Service: req.service, RouteRevision: uint64(req.route.Revision), Reservation: attemptID,
			State: idempotency.Reserved, CreatedMs: p.clock.SteadyWall().UnixMilli(),
		}
		result := a.reserve()
		if result != idempotency.Won {
			a.releaseVotes()
		}
		return resultHandlers[result](a, ctx, next)
	}
}

// rejectOverload sheds the request because the control-plane members refused to create
// its intent under overload.
func (a *keyedAttempt) rejectOverload(context.Context, endpoint.Endpoint) (any, error) {
	a.shedder.counter.CountShed(a.request.service, a.request.route.Tier)
	return nil, a.request.overloadError()
}

// execute forwards the request after a won round, and records the outcome on a majority
// before the response is returned to the client.
func (a *keyedAttempt) execute(ctx context.Context, next endpoint.Endpoint) (any, error) {
	a.request.maySend = func() bool { return a.round.Result(a.clock.Monotonic()) == idempotency.Won }
	a.transition(idempotency.AuthorizationPending)
	result, err := next(ctx, a.request)
	var unresolved *unresolvedError
	switch typed := err.(type) {
	case nil:
		response := result.(*upstream.Response)
		a.complete(response)
		return response, nil
	case *unresolvedError:
		unresolved = typed
	default:
		// Nothing was executed, so the key is released.
		a.releaseVotes()
		return nil, err
	}
	a.transition(idempotency.TimeoutUnresolved)
	a.recordIntent(a.intent, 0)
	if unresolved.lateResult != nil {
		// The attempt's connection stays open, because a late response still shows the
		// outcome.
		go func() {
			switch late := <-unresolved.lateResult; {
			case late.response != nil:
				a.complete(late.response)
				late.response.Finish(false)
			case late.notExecuted:
				a.releaseVotes()
			}
		}()
	}
	return nil, apierror.New(unresolved.kind, "")
}

// transition moves the intent to the target state, and logs a transition that is not
// allowed.
func (a *keyedAttempt) transition(target idempotency.State) {
	if next, err := a.intent.Transition(target); err == nil {
		a.intent = next
		return
	}
	a.log("error", "invalid intent state transition", "from", a.intent.State, "to", target)
}

// complete records the response. A response that is not buffered whole is not recorded,
// because a part of it would be replayed as the whole; its outcome stays unresolved.
func (a *keyedAttempt) complete(response *upstream.Response) {
	if response.Remainder != nil {
		if a.intent.State != idempotency.TimeoutUnresolved {
			a.transition(idempotency.TimeoutUnresolved)
			a.recordIntent(a.intent, 0)
		}
		return
	}
	a.transition(idempotency.Completed)
	a.intent.Response = &idempotency.Response{
		Status: response.Status, Seal: response.Header.Get(upstream.HeaderSeal),
		ContentType: response.Header.Get("Content-Type"), Body: response.Body,
	}
	a.recordIntent(a.intent, a.settings.Load().Tuning.RecordTimeout.Std())
}

// recordIntent sends the intent to every member, and waits until a majority has stored
// it on disk or the timeout passes. A timeout of zero does not wait.
func (a *keyedAttempt) recordIntent(intent idempotency.Intent, timeout time.Duration) {
	// Members without a vote for the attempt store its record too.
	clear(a.ungranted)
	if isLargeOutcome(intent) {
		a.recordLargeOutcome(intent, a.snapshot.Load().view, max(timeout, time.Until(a.request.deadline)/largeOutcomeWaitDivisor))
		return
	}
	a.recentIntents.add(intent, a.clock.Monotonic(), a.recordRetention())
	view := a.snapshot.Load().view
	acknowledgements, cancel := notifyMembers[messages.Ack](a.proxy, view, messages.KindRecord, messages.Record{Intent: intent})
	defer cancel()
	if timeout == 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for count := 0; count < view.Majority(); {
		select {
		case ack := <-acknowledgements:
			if ack.reply != nil && ack.reply.OK {
				count++
			}
		case <-timer.C:
			return
		}
	}
}

// replay answers from the stored record, without a server or quota.
func (a *keyedAttempt) replay(context.Context, endpoint.Endpoint) (any, error) {
	a.request.replayed = true
	return recordedResponse(a.round.Terminal().Response, a.request.Attempt), nil
}

// recordedResponse rebuilds a response from its record, under the given attempt ID.
func recordedResponse(recorded *idempotency.Response, attemptID string) *upstream.Response {
	header := http.Header{upstream.HeaderAttempt: {attemptID}}
	if recorded.Seal != "" {
		header[upstream.HeaderSeal] = []string{recorded.Seal}
	}
	if recorded.ContentType != "" {
		header["Content-Type"] = []string{recorded.ContentType}
	}
	return &upstream.Response{Status: recorded.Status, Header: header, Body: recorded.Body, Length: int64(len(recorded.Body))}
}
