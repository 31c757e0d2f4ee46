package proxy

import (
	"sync"
	"time"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

const (
	// largeOutcomeBytes is the length of a response from which its record is sent on a connection of its own, where it
	// does not delay votes.
	largeOutcomeBytes = 256 << 10
	// largeOutcomeTimeout limits one call, largeOutcomeRetryDelay is the pause after one that failed.
	largeOutcomeTimeout    = 5 * time.Second
	largeOutcomeRetryDelay = 100 * time.Millisecond
	// largeOutcomeWaitDivisor: a response waits for its record for this fraction of the time that its client has left.
	largeOutcomeWaitDivisor = 2
	// outcomeMemoryDivisor divides the machine's memory to give how many bytes of large outcomes may wait for a member
	// before keyed requests are refused; defaultOutcomeBytes applies if the memory is unknown.
	outcomeMemoryDivisor = 4
	defaultOutcomeBytes  = 64 << 20
	// outcomeLaneFactor is the multiple of that limit from which a member gets no further outcome from this proxy: it
	// copies what it lacks from another member.
	outcomeLaneFactor = 2
)

// isLargeOutcome reports whether the intent's record is sent by an outcomeLane.
func isLargeOutcome(intent idempotency.Intent) bool {
	return intent.Response != nil && len(intent.Response.Body) >= largeOutcomeBytes
}

// outcomeLane sends large outcomes to one member on a connection of its own, one after the other. An outcome is sent
// again until the member has answered or the outcome is older than the retention.
type outcomeLane struct {
	client    *rpc.Client
	clock     clock.Clock
	retention func() clock.Instant

	lock    sync.Mutex
	queue   []queuedOutcome
	bytes   int
	running bool
}

type queuedOutcome struct {
	intent   idempotency.Intent
	queuedAt clock.Instant
	// done is called once with whether the member has stored the outcome.
	done func(stored bool)
}

// send queues an outcome, unless more than maxBytes wait already.
func (l *outcomeLane) send(intent idempotency.Intent, maxBytes int, done func(stored bool)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.bytes > maxBytes {
		go done(false)
		return
	}
	l.queue = append(l.queue, queuedOutcome{intent, l.clock.Monotonic(), done})
	l.bytes += len(intent.Response.Body)
	if !l.running {
		l.running = true
		go l.run()
	}
}

// waitingBytes returns how many bytes wait for the member.
func (l *outcomeLane) waitingBytes() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.bytes
}

// run sends the queued outcomes until none is left.
func (l *outcomeLane) run() {
	for {
		next, ok := l.next()
		if !ok {
			return
		}
		next.done(l.deliver(next))
		l.remove()
	}
}

// next returns the first outcome of the queue; without one it ends the run.
func (l *outcomeLane) next() (next queuedOutcome, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if len(l.queue) == 0 {
		l.running = false
		return next, false
	}
	return l.queue[0], true
}

// remove removes the first outcome of the queue.
func (l *outcomeLane) remove() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.bytes -= len(l.queue[0].intent.Response.Body)
	l.queue[0] = queuedOutcome{}
	l.queue = l.queue[1:]
}

// deliver sends one outcome and reports whether the member has stored it.
func (l *outcomeLane) deliver(outcome queuedOutcome) (stored bool) {
	for {
		var ack messages.Ack
		if l.client.Call(messages.KindRecord, messages.Record{Intent: outcome.intent}, &ack, largeOutcomeTimeout) == nil {
			return ack.OK
		}
		if l.clock.Monotonic()-outcome.queuedAt > l.retention() {
			return false
		}
		l.clock.Sleep(largeOutcomeRetryDelay)
	}
}

// outcomeLane returns the lane to a member, created on first use.
func (p *proxy) outcomeLane(member string) *outcomeLane {
	p.mu.Lock()
	defer p.mu.Unlock()
	lane := p.outcomeLanes[member]
	if lane == nil {
		lane = &outcomeLane{client: rpc.NewClient(member, controlConnectTimeout, controlSilenceTimeout), clock: p.clock, retention: p.recordRetention}
		lane.client.OnSend = p.outbound.CountShort
		p.outcomeLanes[member] = lane
	}
	return lane
}

// maxWaitingOutcomes returns how many bytes of large outcomes may wait for a member.
func maxWaitingOutcomes(memoryMB bounded.Count) int {
	if memoryMB <= 0 {
		return defaultOutcomeBytes
	}
	return int(memoryMB) << 20 / outcomeMemoryDivisor
}

// canKeepOutcomes reports whether a majority of the members takes large outcomes fast enough. Otherwise a keyed request
// is refused before it is sent: its outcome could not be kept.
func (p *proxy) canKeepOutcomes(view membership.View) bool {
	limit, ready := maxWaitingOutcomes(p.settings.Load().Platform.Limits.MemoryMB), 0
	for _, member := range view.Members {
		if p.outcomeLane(member).waitingBytes() <= limit {
			ready++
		}
	}
	return ready >= view.Majority() || len(view.Members) == 0
}

// recordLargeOutcome sends a large outcome to every member and waits until a majority has stored it, or the timeout
// passes. The lanes go on after that.
func (a *keyedAttempt) recordLargeOutcome(intent idempotency.Intent, view membership.View, timeout time.Duration) {
	a.recentIntents.supersede(intent.Attempt)
	limit := outcomeLaneFactor * maxWaitingOutcomes(a.settings.Load().Platform.Limits.MemoryMB)
	results := make(chan bool, len(view.Members))
	for _, member := range view.Members {
		a.outcomeLane(member).send(intent, limit, func(stored bool) { results <- stored })
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	stored := 0
	for range view.Members {
		select {
		case isStored := <-results:
			if isStored {
				stored++
			}
			if stored >= view.Majority() {
				return
			}
		case <-timer.C:
			return
		}
	}
}
