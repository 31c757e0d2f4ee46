package proxy

import (
	"sync"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

// recentIntents holds the last state of each attempt that this proxy recently recorded.
type recentIntents struct {
	mu sync.Mutex
	// sent is ordered by time; latest holds those that no later state supersedes.
	sent   []*sentIntent
	latest map[idempotency.Attempt]*sentIntent
}

type sentIntent struct {
	sentAt clock.Instant
	intent idempotency.Intent
}

// add stores the state of an attempt in place of its earlier one, and drops those older
// than the retention.
func (r *recentIntents) add(intent idempotency.Intent, now, retention clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now, retention)
	if r.latest == nil {
		r.latest = map[idempotency.Attempt]*sentIntent{}
	}
	added := &sentIntent{now, intent}
	r.sent = append(r.sent, added)
	r.latest[intent.Attempt] = added
}

// supersede forgets the earlier states of an attempt whose last state is sent elsewhere.
func (r *recentIntents) supersede(attempt idempotency.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.latest, attempt)
}

// dropExpired drops the intents older than the retention. The lock must be held.
func (r *recentIntents) dropExpired(now, retention clock.Instant) {
	expired := 0
	for expired < len(r.sent) && now-r.sent[expired].sentAt > retention {
		if old := r.sent[expired]; r.isLatest(old) {
			delete(r.latest, old.intent.Attempt)
		}
		r.sent[expired] = nil
		expired++
	}
	r.sent = r.sent[expired:]
}

// isLatest reports whether an intent is the last state of its attempt. The lock must be
// held.
func (r *recentIntents) isLatest(intent *sentIntent) bool {
	return r.latest[intent.intent.Attempt] == intent
}

// forEach passes the last state of each attempt to send, unless it is older than the
// retention. send must not block: no state of an attempt is added while it is called, so
// that what it sends goes out before any later state.
func (r *recentIntents) forEach(now, retention clock.Instant, send func(idempotency.Intent)) {
	r.mu.Lock()
	r.dropExpired(now, retention)
	all := append([]*sentIntent(nil), r.sent...)
	r.mu.Unlock()
	for _, sent := range all {
		r.mu.Lock()
		if r.isLatest(sent) {
			send(sent.intent)
		}
		r.mu.Unlock()
	}
}

// resendRecent sends the recent intents again after a reconnect, because the control node
// may have missed them. No vote is granted by them, and none is lost: a record changes
// only what the node stores of its own attempt.
func (p *proxy) resendRecent(conn *rpc.Client) {
	p.recentIntents.forEach(p.clock.Monotonic(), p.recordRetention(), func(intent idempotency.Intent) {
		conn.Send(messages.KindRecord, messages.Record{Intent: intent}, nil)
	})
}

// recordRetention returns how long records are kept to be sent again.
func (p *proxy) recordRetention() clock.Instant {
	return clock.Instant(p.settings.Load().Platform.Bounds.Sync)
}
