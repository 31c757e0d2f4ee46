package simulation

import (
	"fmt"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
)

const (
	proxyCount   = 2
	clientsOfOne = 2
	keyCount     = 16
	proxyPause   = 900 * time.Millisecond
	recordSpan   = 250 * time.Millisecond
)

// proxy asks for votes and runs keyed operations.
type proxy struct {
	process
	attempts int
}

func (w *world) startProxies() {
	for number := range proxyCount {
		p := &proxy{process: process{world: w, name: fmt.Sprint("proxy-", number), life: 1, isUp: true}}
		w.proxies = append(w.proxies, p)
		for client := range clientsOfOne {
			p.spawn(func(t *task) { p.serve(t, operatorCount+number*clientsOfOne+client) })
		}
		if w.options.Scenario != Calm {
			p.freezeNow()
		}
	}
}

// freezeNow freezes the proxy every now and then.
func (p *proxy) freezeNow() {
	w := p.world
	w.After(Time(w.random.Int64N(int64(2*time.Second))), func() {
		p.isFrozen = true
		w.After(Time(w.random.Int64N(int64(600*time.Millisecond))), p.thaw)
		if w.Now < faultSpan {
			p.freezeNow()
		}
	})
}

func (p *proxy) serve(t *task, client int) {
	w := p.world
	for w.Now < faultSpan {
		t.sleep(Time(w.random.Int64N(int64(proxyPause))))
		p.operate(t, client, fmt.Sprint("key-", w.random.IntN(keyCount)))
	}
}

// operate takes one request with a key through the vote.
func (p *proxy) operate(t *task, client int, key string) {
	w := p.world
	p.attempts++
	attempt := fmt.Sprintf("%s/%d", p.name, p.attempts)
	operation := w.history.begin(client, w.Now, keyInput{key, attempt})
	intent := intentOf(key, attempt, time.UnixMilli(1_700_000_000_000).Add(w.Now))
	view := p.findView(t)
	round, began := p.vote(t, view, intent)
	switch round.Result(clock.Instant(w.Now - began)) {
	case idempotency.Won:
		w.checks.ran(key, attempt)
		p.finish(t, view, intent, operation)
	case idempotency.Replayable:
		w.history.end(operation, w.Now, keyAnswer{round.Terminal().Response.Seal})
		p.release(view, intent)
	default:
		w.history.drop(operation)
		p.release(view, intent)
	}
}

func (p *proxy) findView(t *task) (newest membership.View) {
	views := gather(t, p.world.names, askSpan, struct{}{}, (*member).onView, func(views []membership.View) bool { return len(views) >= 3 })
	newest = p.world.checks.first
	for _, view := range views {
		if view.Epoch > newest.Epoch {
			newest = view
		}
	}
	return newest
}

// vote gathers the members' votes; the round's clock begins at zero.
func (p *proxy) vote(t *task, view membership.View, intent idempotency.Intent) (round *idempotency.Round, began Time) {
	w := p.world
	began = w.Now
	round = idempotency.NewRound(intent.RequestHash, len(view.Members), 0, clock.Instant(voteSpan))
	votes := gather(t, view.Members, voteSpan, reserveRequest{view.Epoch, intent}, (*member).onReserve, func(votes []idempotency.Vote) bool {
		trial := idempotency.NewRound(intent.RequestHash, len(view.Members), 0, clock.Instant(voteSpan))
		for _, vote := range votes {
			trial.AddVote(&vote)
		}
		return trial.Result(clock.Instant(w.Now-began)) != idempotency.Undecided
	})
	for _, vote := range votes {
		round.AddVote(&vote)
	}
	for range len(view.Members) - len(votes) {
		round.AddVote(nil)
	}
	return round, began
}

// finish records the outcome of the run, or dies before, or leaves it open.
func (p *proxy) finish(t *task, view membership.View, intent idempotency.Intent, operation int) {
	w := p.world
	switch w.random.IntN(6) {
	case 0:
		return
	case 1:
		intent.State = idempotency.TimeoutUnresolved
	default:
		intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Status: 200, Seal: string(intent.Attempt)}
		w.history.end(operation, w.Now, keyAnswer{string(intent.Attempt)})
	}
	gather(t, view.Members, recordSpan, intent, (*member).onRecord, func(done []bool) bool { return len(done) >= view.Majority() })
}

// release gives the votes back.
func (p *proxy) release(view membership.View, intent idempotency.Intent) {
	intent.State = idempotency.Released
	for _, name := range view.Members {
		call(&p.process, name, intent, (*member).onRecord, func(bool) {})
	}
}
