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
		one := request.(*clientRequest)
		if one.route.RouteType != config.Idempotent {
			return next(ctx, request)
		}
		keys := one.Header.Values(upstream.HeaderKey)
		if len(keys) != 1 || keys[0] == "" {
			return nil, apierror.New(apierror.BadInquiry, "one operation key is needed")
		}
		one.key = idempotency.Key{Tenant: one.route.Host, Key: keys[0]}
		a := &keyedAttempt{proxy: p, request: one, ungranted: map[string]bool{}}
		name := p.incarnation + "-" + strconv.FormatUint(p.attemptCount.Add(1), 36)
		a.intent = idempotency.Intent{
			Key: one.key, Attempt: idempotency.Attempt(name), Hash: idempotency.HashOf(one.Method, one.Target, one.Body),
			Lane: one.route.Name, Service: one.service, Manifest: uint64(one.route.Revision), Reservation: name,
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
	reply, err := next(ctx, a.request)
	var open *unresolvedError
	switch known := err.(type) {
	case nil:
		out := reply.(*upstream.Reply)
		a.complete(out)
		return out, nil
	case *unresolvedError:
		open = known
	default:
		// Nothing ran: the key is free again.
		a.releaseVotes()
		return nil, err
	}
	a.transition(idempotency.TimeoutUnresolved)
	a.recordIntent(a.intent, 0)
	if open.lateResult != nil {
		// The first connection is kept: a late reply still shows the outcome.
		go func() {
			switch late := <-open.lateResult; {
			case late.reply != nil:
				a.complete(late.reply)
				late.reply.Finish(false)
			case late.isFree:
				a.releaseVotes()
			}
		}()
	}
	return nil, apierror.New(open.kind, "")
}

func (a *keyedAttempt) transition(to idempotency.State) {
	if next, err := a.intent.Step(to); err == nil {
		a.intent = next
		return
	}
	a.log("error", "intent step", "from", a.intent.State, "to", to)
}

// complete records the reply. One that is not at hand whole is not recorded: a part
// would be replayed as if it were all, so the outcome stays open.
func (a *keyedAttempt) complete(reply *upstream.Reply) {
	if reply.Rest != nil {
		if a.intent.State != idempotency.TimeoutUnresolved {
			a.transition(idempotency.TimeoutUnresolved)
			a.recordIntent(a.intent, 0)
		}
		return
	}
	a.transition(idempotency.Completed)
	a.intent.Reply = &idempotency.Reply{
		Status: reply.Status, Seal: reply.Header.Get(upstream.HeaderSeal),
		ContentType: reply.Header.Get("Content-Type"), Body: reply.Body,
	}
	a.recordIntent(a.intent, a.settings.Load().Tuning.RecordWait.Std())
}

// tell records the intent with every member, and waits until a majority has it
// on disk, or the span ends.
func (a *keyedAttempt) recordIntent(intent idempotency.Intent, wait time.Duration) {
	a.recentIntents.add(intent, a.clock.Steady(), timetable.Steady(a.settings.Load().Platform.Bounds.Sync))
	view := a.snapshot.Load().view
	kept, forget := tellMembers[messages.Done](a.proxy, view, messages.KindRecord, messages.Record{Intent: intent})
	defer forget()
	if wait == 0 {
		return
	}
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	for count := 0; count < view.Majority(); {
		select {
		case done := <-kept:
			if done.reply != nil && done.reply.OK {
				count++
			}
		case <-alarm.C:
			return
		}
	}
}

// replay answers from the record: no server, no quota.
func (a *keyedAttempt) replay(context.Context, endpoint.Endpoint) (any, error) {
	a.request.replayed = true
	return recordedResponse(a.round.Terminal().Reply, a.request.Attempt), nil
}

func recordedResponse(recorded *idempotency.Reply, attempt string) *upstream.Reply {
	header := http.Header{upstream.HeaderAttempt: {attempt}}
	if recorded.Seal != "" {
		header[upstream.HeaderSeal] = []string{recorded.Seal}
	}
	if recorded.ContentType != "" {
		header["Content-Type"] = []string{recorded.ContentType}
	}
	return &upstream.Reply{Status: recorded.Status, Header: header, Body: recorded.Body, Length: int64(len(recorded.Body))}
}
