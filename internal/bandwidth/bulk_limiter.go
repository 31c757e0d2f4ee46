package bandwidth

import (
	"context"
	"sync"
	"time"
)

// Passing bounds the bulk that is under way at a node: how much is expected on
// its link, and how many senders may answer at the same time, as their first
// windows cannot be held back.
type BulkLimiter struct {
	pacer *Pacer
	lock  sync.Mutex
	// bytes is what the bulk under way is expected to bring.
	pendingBytes int64
	senders      chan struct{}
}

// sendersAtOnce is how many senders may be answering at once.
const maxSenders = 2

// NewPassing makes a passing for the track.
//
// Example:
//
//	passing := bandwidth.NewPassing(out)
func NewBulkLimiter(pacer *Pacer) *BulkLimiter {
	return &BulkLimiter{pacer: pacer, senders: make(chan struct{}, maxSenders)}
}

// Enter admits bulk of the expected size if it can pass within the span, given
// what is under way and what short traffic leaves of the link, and returns the closure that ends it.
//
// Example:
//
//	leave, isAdmitted := passing.Enter(90_000, aim-usual)
func (l *BulkLimiter) Admit(bytes int64, within time.Duration) (release func(), admitted bool) {
	if l.pacer.perByte == 0 {
		return func() {}, true
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.pendingBytes > 0 && l.pacer.bulkTime(l.pendingBytes+bytes) > within {
		return nil, false
	}
	l.pendingBytes += bytes
	return func() {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.pendingBytes -= bytes
	}, true
}

// Turn waits until one more sender may answer, or the context ends.
//
// Example:
//
//	end, isTurn := passing.Turn(ctx)
func (l *BulkLimiter) AcquireSender(ctx context.Context) (release func(), acquired bool) {
	if l.pacer.perByte == 0 {
		return func() {}, true
	}
	select {
	case l.senders <- struct{}{}:
		return func() { <-l.senders }, true
	case <-ctx.Done():
		return nil, false
	}
}
