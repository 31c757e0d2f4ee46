package bandwidth

import (
	"context"
	"sync"
	"time"
)

// BulkLimiter limits the bulk responses in progress at a node: how many bytes are
// expected on its link, and how many servers may send at the same time, because the
// first window of each sender cannot be paced.
type BulkLimiter struct {
	pacer *Pacer
	lock  sync.Mutex
	// pendingBytes is the expected size of all bulk responses in progress.
	pendingBytes int64
	senders      chan struct{}
}

// maxSenders is how many servers may send bulk responses at the same time.
const maxSenders = 2

// NewBulkLimiter returns a limiter for the pacer's link.
func NewBulkLimiter(pacer *Pacer) *BulkLimiter {
	return &BulkLimiter{pacer: pacer, senders: make(chan struct{}, maxSenders)}
}

// Admit admits a bulk response of the expected size if the link can carry it within
// the duration, given the responses in progress and the share that short traffic
// leaves free. It returns a function that ends the response.
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

// AcquireSender waits until one more server may send, or the context ends. It
// returns a function that releases the sender's slot.
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
