package proxy

import (
	"sync"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

// recent is what this proxy told the core a short while ago.
type recent struct {
	lock    sync.Mutex
	intents []toldIntent
}

type toldIntent struct {
	at     timetable.Steady
	intent idempotency.Intent
}

func (r *recent) add(intent idempotency.Intent, now, span timetable.Steady) {
	r.lock.Lock()
	defer r.lock.Unlock()
	old := 0
	for old < len(r.intents) && now-r.intents[old].at > span {
		old++
	}
	r.intents = append(r.intents[old:], toldIntent{now, intent})
}

// retell tells a core node again what it may have lost, once the line to it is
// made anew: whoever told it first. A node that holds it takes no notice, and
// what it did not hold is only added; no vote is granted by it.
func (p *proxy) retell(line *rpc.Line) {
	p.recent.lock.Lock()
	intents := append([]toldIntent(nil), p.recent.intents...)
	p.recent.lock.Unlock()
	for _, told := range intents {
		line.Send(messages.KindRecord, messages.Record{Intent: told.intent}, nil)
	}
}
