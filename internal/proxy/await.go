package proxy

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
)

const (
	initialLookupDelay = 30 * time.Millisecond
	lookupTimeDivisor  = 2
	lookupTimeout      = 50 * time.Millisecond
)

// resume waits a while for the outcome of the attempt that holds the key, and
// answers that the key is in work if none is shown. Nothing is sent again.
func (a *keyedAttempt) awaitOutcome(context.Context, endpoint.Endpoint) (any, error) {
	left := time.Until(a.request.deadline) - lookupTimeout
	end := time.Now().Add(min(left, a.request.route.TargetLatency.Std()) / lookupTimeDivisor)
	for pause := initialLookupDelay; time.Now().Add(pause).Before(end); pause *= 2 {
		a.clock.Sleep(pause)
		if held := a.lookup(); held != nil && held.Reply != nil {
			if held.Hash != a.intent.Hash {
				return nil, apierror.New(apierror.Conflict, "")
			}
			a.request.replayed = true
			return recordedResponse(held.Reply, a.request.Attempt), nil
		}
	}
	return nil, apierror.New(apierror.AtWork, "")
}

// lookup asks every member for the key and returns an ended record, if one has
// it, or else nil.
func (a *keyedAttempt) lookup() *idempotency.Intent {
	view := a.snapshot.Load().view
	got, forget := askMembers[messages.Found](a.proxy, view, messages.KindLookup, messages.Lookup{Key: a.request.key})
	defer forget()
	alarm := time.NewTimer(lookupTimeout)
	defer alarm.Stop()
	for range view.Members {
		select {
		case found := <-got:
			if found.reply == nil || found.reply.Intent == nil {
				continue
			}
			if held := found.reply.Intent; held.Key == a.request.key && held.Reply != nil {
				return held
			}
		case <-alarm.C:
			return nil
		}
	}
	return nil
}
