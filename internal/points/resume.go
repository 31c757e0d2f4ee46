package points

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/derail"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/ledger"
	"ploverhitch/internal/roster"
	"ploverhitch/internal/signal"
	"ploverhitch/internal/telegram"
)

func newsOf(view *roster.View) feed.News { return feed.News{View: view} }

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
		if held := a.lookup(); held != nil && held.Reply != nil {
			if held.Hash != a.intent.Hash {
				return nil, derail.New(derail.Conflict, "")
			}
			return replyOf(held.Reply, a.one.Attempt), nil
		}
	}
	return nil, derail.New(derail.AtWork, "")
}

// lookup asks every member for the key and returns an ended record, if one has
// it, or else nil.
func (a *attempt) lookup() *ledger.Intent {
	view := a.sight.Load().view
	got := make(chan *ledger.Intent, len(view.Members))
	for _, member := range view.Members {
		forget := a.line(member).Send(telegram.KindLookup, telegram.Lookup{Key: a.one.key}, func(body []byte, err error) {
			var found telegram.Found
			if err == nil {
				_ = signal.Unpack(body, &found)
			}
			select {
			case got <- found.Intent:
			default:
			}
		})
		defer forget()
	}
	alarm := time.NewTimer(resumeMargin)
	defer alarm.Stop()
	for range view.Members {
		select {
		case intent := <-got:
			if intent != nil && intent.Reply != nil {
				return intent
			}
		case <-alarm.C:
			return nil
		}
	}
	return nil
}
