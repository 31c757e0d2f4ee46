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

func (r *recentIntents) add(intent idempotency.Intent, now, span timetable.Steady) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := 0
	for old < len(r.intents) && now-r.intents[old].sentAt > span {
		old++
	}
	r.intents = append(r.intents[old:], sentIntent{now, intent})
}

// retell tells a core node again what it may have lost, once the line to it is
// made anew: whoever told it first. A node that holds it takes no notice, and
// what it did not hold is only added; no vote is granted by it.
func (p *proxy) resendRecent(line *rpc.Line) {
	p.recentIntents.mu.Lock()
	intents := append([]sentIntent(nil), p.recentIntents.intents...)
	p.recentIntents.mu.Unlock()
	for _, told := range intents {
		line.Send(messages.KindRecord, messages.Record{Intent: told.intent}, nil)
	}
}
