package proxy

import (
	"sync"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

// recent is what this proxy told the core a short while ago.
type recentIntents struct {
	mu      sync.Mutex
	intents []sentIntent
}

type sentIntent struct {
	sentAt timetable.Steady
	intent idempotency.Intent
}

func (r *recentIntents) add(intent idempotency.Intent, now, retention timetable.Steady) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := 0
	for expired < len(r.intents) && now-r.intents[expired].sentAt > retention {
		expired++
	}
	r.intents = append(r.intents[expired:], sentIntent{now, intent})
}

// retell tells a core node again what it may have lost, once the line to it is
// made anew: whoever told it first. A node that holds it takes no notice, and
// what it did not hold is only added; no vote is granted by it.
func (p *proxy) resendRecent(conn *rpc.Line) {
	p.recentIntents.mu.Lock()
	intents := append([]sentIntent(nil), p.recentIntents.intents...)
	p.recentIntents.mu.Unlock()
	for _, sent := range intents {
		conn.Send(messages.KindRecord, messages.Record{Intent: sent.intent}, nil)
	}
}
