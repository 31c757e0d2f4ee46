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
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

// attempt is one try of this proxy at one key.
type keyedAttempt struct {
	*proxy
	request *clientRequest
	intent  idempotency.Intent
	round   *idempotency.Round
	// ungranted are the members whose vote is surely not ours to give back.
	ungranted map[string]bool
}

// decisions is the paper's replay matrix: from what the vote round came to, to
// what is done with the inquiry.
var standingHandlers = map[idempotency.Standing]func(*keyedAttempt, context.Context, endpoint.Endpoint) (any, error){
	idempotency.Won:         (*keyedAttempt).execute,
	idempotency.Replayable:  (*keyedAttempt).replay,
	idempotency.InWork:      (*keyedAttempt).awaitOutcome,
	idempotency.Conflicting: rejectWith(apierror.Conflict),
	idempotency.Limited:     rejectWith(apierror.OverLimit),
	idempotency.NoMajority:  rejectWith(apierror.NoQuorum),
	idempotency.TurnedAway:  (*keyedAttempt).rejectOverload,
}

func rejectWith(kind apierror.Kind) func(*keyedAttempt, context.Context, endpoint.Endpoint) (any, error) {
	return func(*keyedAttempt, context.Context, endpoint.Endpoint) (any, error) {
		return nil, apierror.New(kind, "")
	}
}

// replaying secures an intent for every inquiry of an idempotent lane before
// anything reaches a server.
func (p *proxy) idempotencyMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*clientRequest)
		if req.route.RouteType != config.Idempotent {
			return next(ctx, request)
		}
		keys := req.Header.Values(upstream.HeaderKey)
		if len(keys) != 1 || keys[0] == "" {
			return nil, apierror.New(apierror.BadInquiry, "one operation key is needed")
		}
		req.key = idempotency.Key{Tenant: req.route.Host, Key: keys[0]}
		a := &keyedAttempt{proxy: p, request: req, ungranted: map[string]bool{}}
		attemptID := p.incarnation + "-" + strconv.FormatUint(p.attemptCount.Add(1), 36)
		a.intent = idempotency.Intent{
			Key: req.key, Attempt: idempotency.Attempt(attemptID), Hash: idempotency.HashOf(req.Method, req.Target, req.Body),
			Lane: req.route.Name, Service: req.service, Manifest: uint64(req.route.Revision), Reservation: attemptID,
			State: idempotency.Reserved, CreatedMs: p.clock.Wall().UnixMilli(),
		}
		standing := a.reserve()
		if standing != idempotency.Won {
			a.releaseVotes()
		}
		return standingHandlers[standing](a, ctx, next)
	}
}

// turnAway refuses the creation of an intent, as a majority of the core says.
func (a *keyedAttempt) rejectOverload(context.Context, endpoint.Endpoint) (any, error) {
	a.shedder.counter.Shed(a.request.service, a.request.route.Tier)
	return nil, a.request.comeBack()
}

// forward delivers the inquiry of a won round, and records the outcome on a
// majority before the client gets it.
func (a *keyedAttempt) execute(ctx context.Context, next endpoint.Endpoint) (any, error) {
	a.request.maySend = func() bool { return a.round.Standing(a.clock.Steady()) == idempotency.Won }
	a.transition(idempotency.AuthorizationPending)
	result, err := next(ctx, a.request)
	var unresolved *unresolvedError
	switch typed := err.(type) {
	case nil:
		response := result.(*upstream.Reply)
		a.complete(response)
		return response, nil
	case *unresolvedError:
		unresolved = typed
	default:
		// Nothing ran: the key is free again.
		a.releaseVotes()
		return nil, err
	}
	a.transition(idempotency.TimeoutUnresolved)
	a.recordIntent(a.intent, 0)
	if unresolved.lateResult != nil {
		// The first connection is kept: a late reply still shows the outcome.
		go func() {
			switch late := <-unresolved.lateResult; {
			case late.reply != nil:
				a.complete(late.reply)
				late.reply.Finish(false)
			case late.isFree:
				a.releaseVotes()
			}
		}()
	}
	return nil, apierror.New(unresolved.kind, "")
}

func (a *keyedAttempt) transition(target idempotency.State) {
	if next, err := a.intent.Step(target); err == nil {
		a.intent = next
		return
	}
	a.log("error", "intent step", "from", a.intent.State, "to", target)
}

// complete records the reply. One that is not at hand whole is not recorded: a part
// would be replayed as if it were all, so the outcome stays open.
func (a *keyedAttempt) complete(response *upstream.Reply) {
	if response.Rest != nil {
		if a.intent.State != idempotency.TimeoutUnresolved {
			a.transition(idempotency.TimeoutUnresolved)
			a.recordIntent(a.intent, 0)
		}
		return
	}
	a.transition(idempotency.Completed)
	a.intent.Reply = &idempotency.Reply{
		Status: response.Status, Seal: response.Header.Get(upstream.HeaderSeal),
		ContentType: response.Header.Get("Content-Type"), Body: response.Body,
	}
	a.recordIntent(a.intent, a.settings.Load().Tuning.RecordWait.Std())
}

// tell records the intent with every member, and waits until a majority has it
// on disk, or the span ends.
func (a *keyedAttempt) recordIntent(intent idempotency.Intent, timeout time.Duration) {
	a.recentIntents.add(intent, a.clock.Steady(), timetable.Steady(a.settings.Load().Platform.Bounds.Sync))
	view := a.snapshot.Load().view
	acknowledgements, cancel := tellMembers[messages.Done](a.proxy, view, messages.KindRecord, messages.Record{Intent: intent})
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

// replay answers from the record: no server, no quota.
func (a *keyedAttempt) replay(context.Context, endpoint.Endpoint) (any, error) {
	a.request.replayed = true
	return recordedResponse(a.round.Terminal().Reply, a.request.Attempt), nil
}

func recordedResponse(recorded *idempotency.Reply, attemptID string) *upstream.Reply {
	header := http.Header{upstream.HeaderAttempt: {attemptID}}
	if recorded.Seal != "" {
		header[upstream.HeaderSeal] = []string{recorded.Seal}
	}
	if recorded.ContentType != "" {
		header["Content-Type"] = []string{recorded.ContentType}
	}
	return &upstream.Reply{Status: recorded.Status, Header: header, Body: recorded.Body, Length: int64(len(recorded.Body))}
}
