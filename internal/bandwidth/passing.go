package bandwidth

import (
	"context"
	"sync"
	"time"
)

// Passing bounds the bulk that is under way at a node: how much is expected on
// its link, and how many senders may answer at the same time, as their first
// windows cannot be held back.
type Passing struct {
	track *Track
	lock  sync.Mutex
	// bytes is what the bulk under way is expected to bring.
	bytes int64
	slots chan struct{}
}

// sendersAtOnce is how many senders may be answering at once.
const sendersAtOnce = 2

// NewPassing makes a passing for the track.
//
// Example:
//
//	passing := bandwidth.NewPassing(out)
func NewPassing(track *Track) *Passing {
	return &Passing{track: track, slots: make(chan struct{}, sendersAtOnce)}
}

// Enter admits bulk of the expected size if it can pass within the span, given
// what is under way and what short traffic leaves of the link, and returns the closure that ends it.
//
// Example:
//
//	leave, isAdmitted := passing.Enter(90_000, aim-usual)
func (p *Passing) Enter(bytes int64, within time.Duration) (leave func(), isAdmitted bool) {
	if p.track.perByte == 0 {
		return func() {}, true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.bytes > 0 && p.track.bulkTime(p.bytes+bytes) > within {
		return nil, false
	}
	p.bytes += bytes
	return func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.bytes -= bytes
	}, true
}

// Turn waits until one more sender may answer, or the context ends.
//
// Example:
//
//	end, isTurn := passing.Turn(ctx)
func (p *Passing) Turn(ctx context.Context) (end func(), isTurn bool) {
	if p.track.perByte == 0 {
		return func() {}, true
	}
	select {
	case p.slots <- struct{}{}:
		return func() { <-p.slots }, true
	case <-ctx.Done():
		return nil, false
	}
}
