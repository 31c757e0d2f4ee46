package points

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
type attempt struct {
	*proxy
	one    *inquiry
	intent idempotency.Intent
	round  *idempotency.Round
	// ungranted are the members whose vote is surely not ours to give back.
	ungranted map[string]bool
}

// decisions is the paper's replay matrix: from what the vote round came to, to
// what is done with the inquiry.
var decisions = map[idempotency.Result]func(*attempt, context.Context, endpoint.Endpoint) (any, error){
	idempotency.Won:             (*attempt).forward,
	idempotency.Replayable:      (*attempt).replay,
	idempotency.InProgress:      (*attempt).resume,
	idempotency.RequestMismatch: rejecting(apierror.Conflict),
	idempotency.LimitExceeded:   rejecting(apierror.OverLimit),
	idempotency.NoMajority:      rejecting(apierror.NoQuorum),
	idempotency.Overloaded:      (*attempt).turnAway,
}

func rejecting(kind apierror.Kind) func(*attempt, context.Context, endpoint.Endpoint) (any, error) {
	return func(*attempt, context.Context, endpoint.Endpoint) (any, error) { return nil, apierror.New(kind, "") }
}

// replaying secures an intent for every inquiry of an idempotent lane before
// anything reaches a server.
func (p *proxy) replaying(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		one := request.(*inquiry)
		if one.lane.RouteType != config.Idempotent {
			return next(ctx, request)
		}
		keys := one.Header.Values(upstream.HeaderOperationKey)
		if len(keys) != 1 || keys[0] == "" {
			return nil, apierror.New(apierror.BadInquiry, "one operation key is needed")
		}
		one.key = idempotency.Key{Tenant: one.lane.Host, Key: keys[0]}
		a := &attempt{proxy: p, one: one, ungranted: map[string]bool{}}
		name := p.life + "-" + strconv.FormatUint(p.tries.Add(1), 36)
		a.intent = idempotency.Intent{
			Key: one.key, Attempt: idempotency.Attempt(name), RequestHash: idempotency.HashRequest(one.Method, one.Target, one.Body),
			Route: one.lane.Name, Service: one.service, RouteRevision: uint64(one.lane.Revision), Reservation: name,
			State: idempotency.Reserved, CreatedMs: p.clock.Wall().UnixMilli(),
		}
		standing := a.reserve()
		if standing != idempotency.Won {
			a.giveBack()
		}
		return decisions[standing](a, ctx, next)
	}
}

// turnAway refuses the creation of an intent, as a majority of the core says.
func (a *attempt) turnAway(context.Context, endpoint.Endpoint) (any, error) {
	a.gate.counter.Shed(a.one.service, a.one.lane.Tier)
	return nil, a.one.comeBack()
}

// forward delivers the inquiry of a won round, and records the outcome on a
// majority before the client gets it.
func (a *attempt) forward(ctx context.Context, next endpoint.Endpoint) (any, error) {
	a.one.maySend = func() bool { return a.round.Result(a.clock.Steady()) == idempotency.Won }
	a.step(idempotency.AuthorizationPending)
	reply, err := next(ctx, a.one)
	var open *openEnd
	switch known := err.(type) {
	case nil:
		out := reply.(*upstream.Response)
		a.complete(out)
		return out, nil
	case *openEnd:
		open = known
	default:
		// Nothing ran: the key is free again.
		a.giveBack()
		return nil, err
	}
	a.step(idempotency.TimeoutUnresolved)
	a.tell(a.intent, 0)
	if open.late != nil {
		// The first connection is kept: a late reply still shows the outcome.
		go func() {
			switch late := <-open.late; {
			case late.reply != nil:
				a.complete(late.reply)
				late.reply.Finish(false)
			case late.isFree:
				a.giveBack()
			}
		}()
	}
	return nil, apierror.New(open.kind, "")
}

func (a *attempt) step(to idempotency.State) {
	if next, err := a.intent.Transition(to); err == nil {
		a.intent = next
		return
	}
	a.note("error", "intent step", "from", a.intent.State, "to", to)
}

// complete records the reply. One that is not at hand whole is not recorded: a part
// would be replayed as if it were all, so the outcome stays open.
func (a *attempt) complete(reply *upstream.Response) {
	if reply.Remainder != nil {
		if a.intent.State != idempotency.TimeoutUnresolved {
			a.step(idempotency.TimeoutUnresolved)
			a.tell(a.intent, 0)
		}
		return
	}
	a.step(idempotency.Completed)
	a.intent.Response = &idempotency.Response{
		Status: reply.Status, Seal: reply.Header.Get(upstream.HeaderSeal),
		ContentType: reply.Header.Get("Content-Type"), Body: reply.Body,
	}
	a.tell(a.intent, a.set.Load().Tuning.RecordWait.Std())
}

// tell records the intent with every member, and waits until a majority has it
// on disk, or the span ends.
func (a *attempt) tell(intent idempotency.Intent, wait time.Duration) {
	a.recent.add(intent, a.clock.Steady(), timetable.Steady(a.set.Load().Platform.Bounds.Sync))
	view := a.sight.Load().view
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
func (a *attempt) replay(context.Context, endpoint.Endpoint) (any, error) {
	a.one.isReplayed = true
	return replyOf(a.round.Terminal().Response, a.one.Attempt), nil
}

func replyOf(recorded *idempotency.Response, attempt string) *upstream.Response {
	header := http.Header{upstream.HeaderAttempt: {attempt}}
	if recorded.Seal != "" {
		header[upstream.HeaderSeal] = []string{recorded.Seal}
	}
	if recorded.ContentType != "" {
		header["Content-Type"] = []string{recorded.ContentType}
	}
	return &upstream.Response{Status: recorded.Status, Header: header, Body: recorded.Body, Length: int64(len(recorded.Body))}
}
