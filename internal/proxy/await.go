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
	// The delay between lookups starts at initialLookupDelay and doubles up to maxLookupDelay.
	initialLookupDelay = 30 * time.Millisecond
	maxLookupDelay     = time.Second
	// orphanLookupTime is how long lookups go on after the client has gone: a client that
	// closed only its sending half still gets the outcome.
	orphanLookupTime = 2 * time.Second
	// lookupTimeDivisor: lookups take at most this fraction of the remaining time and
	// of the route's target latency.
	lookupTimeDivisor = 2
	// lookupTimeout limits one lookup, and is kept free before the request's deadline.
	lookupTimeout = 50 * time.Millisecond
)

// awaitOutcome polls for the outcome of the attempt that holds the key, and answers that
// the operation is still in progress if there is none in time. It sends nothing to a
// server.
func (a *keyedAttempt) awaitOutcome(ctx context.Context, _ endpoint.Endpoint) (any, error) {
	remaining := time.Until(a.request.deadline) - lookupTimeout
	lookupDeadline := time.Now().Add(min(remaining, a.request.route.TargetLatency.Std()) / lookupTimeDivisor)
	clientGone := ctx.Done()
	for delay := initialLookupDelay; time.Now().Add(delay).Before(lookupDeadline); delay = min(2*delay, maxLookupDelay) {
		select {
		case <-time.After(delay):
		case <-clientGone:
			clientGone = nil
			if orphanDeadline := time.Now().Add(orphanLookupTime); orphanDeadline.Before(lookupDeadline) {
				lookupDeadline = orphanDeadline
			}
		}
		if recorded := a.lookup(); recorded != nil && recorded.Response != nil {
			if recorded.RequestHash != a.intent.RequestHash {
				return nil, apierror.New(apierror.KeyConflict, "")
			}
			a.request.replayed = true
			return recordedResponse(recorded.Response, a.request.Attempt), nil
		}
	}
	return nil, apierror.New(apierror.KeyInProgress, "")
}

// lookup asks every member for the key, and returns the first record with a response,
// or nil if no member has one.
func (a *keyedAttempt) lookup() *idempotency.Intent {
	view := a.snapshot.Load().view
	replies, cancel := callMembers[messages.LookupResponse](a.proxy, view, messages.KindLookup, messages.Lookup{Key: a.request.key})
	defer cancel()
	timer := time.NewTimer(lookupTimeout)
	defer timer.Stop()
	for range view.Members {
		select {
		case reply := <-replies:
			if reply.reply == nil || reply.reply.Intent == nil {
				continue
			}
			if recorded := reply.reply.Intent; recorded.Key == a.request.key && recorded.Response != nil {
				return recorded
			}
		case <-timer.C:
			return nil
		}
	}
	return nil
}
