package proxy

import (
	"sync"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

// recentIntents holds the intents that this proxy recently sent to the control plane.
type recentIntents struct {
	mu      sync.Mutex
	intents []sentIntent
}

type sentIntent struct {
	sentAt clock.Instant
	intent idempotency.Intent
}

// add appends an intent and drops those older than the retention.
func (r *recentIntents) add(intent idempotency.Intent, now, retention clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := 0
	for expired < len(r.intents) && now-r.intents[expired].sentAt > retention {
		expired++
	}
	r.intents = append(r.intents[expired:], sentIntent{now, intent})
}

// resendRecent sends the recent intents again after a reconnect, because the control node
// may have missed them. A node that has an intent ignores the repetition, and one that
// lacks it only adds the record; no vote is granted by it.
func (p *proxy) resendRecent(conn *rpc.Client) {
	p.recentIntents.mu.Lock()
	intents := append([]sentIntent(nil), p.recentIntents.intents...)
	p.recentIntents.mu.Unlock()
	for _, sent := range intents {
		conn.Send(messages.KindRecord, messages.Record{Intent: sent.intent}, nil)
	}
}
