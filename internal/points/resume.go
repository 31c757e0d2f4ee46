package points

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
)

const (
	resumeFirst  = 30 * time.Millisecond
	resumeShare  = 2
	resumeMargin = 50 * time.Millisecond
)

// resume waits a while for the outcome of the attempt that holds the key, and
// answers that the key is in work if none is shown. Nothing is sent again.
func (a *attempt) resume(context.Context, endpoint.Endpoint) (any, error) {
	left := time.Until(a.one.due) - resumeMargin
	end := time.Now().Add(min(left, a.one.lane.TargetLatency.Std()) / resumeShare)
	for pause := resumeFirst; time.Now().Add(pause).Before(end); pause *= 2 {
		a.clock.Sleep(pause)
		if held := a.lookup(); held != nil && held.Response != nil {
			if held.RequestHash != a.intent.RequestHash {
				return nil, apierror.New(apierror.Conflict, "")
			}
			a.one.isReplayed = true
			return replyOf(held.Response, a.one.Attempt), nil
		}
	}
	return nil, apierror.New(apierror.AtWork, "")
}

// lookup asks every member for the key and returns an ended record, if one has
// it, or else nil.
func (a *attempt) lookup() *idempotency.Intent {
	view := a.sight.Load().view
	got, forget := askMembers[messages.Found](a.proxy, view, messages.KindLookup, messages.Lookup{Key: a.one.key})
	defer forget()
	alarm := time.NewTimer(resumeMargin)
	defer alarm.Stop()
	for range view.Members {
		select {
		case found := <-got:
			if found.reply == nil || found.reply.Intent == nil {
				continue
			}
			if held := found.reply.Intent; held.Key == a.one.key && held.Response != nil {
				return held
			}
		case <-alarm.C:
			return nil
		}
	}
	return nil
}
