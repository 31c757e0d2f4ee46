package clock

import (
	"context"
	"time"
)

// Loop is the event loop of a goroutine that owns state. Commands are queued and
// handled in batches; a periodic callback runs between batches.
type Loop[T any] struct {
	queue chan T
}

// NewLoop makes a loop whose queue holds size commands.
func NewLoop[T any](size int) *Loop[T] {
	return &Loop[T]{queue: make(chan T, size)}
}

// Put queues the command and blocks while the queue is full.
func (l *Loop[T]) Put(command T) { l.queue <- command }

// Offer queues the command if there is room and reports whether it did.
func (l *Loop[T]) Offer(command T) bool {
	select {
	case l.queue <- command:
		return true
	default:
		return false
	}
}

const maxBatch = 512

// Run passes batches of commands to handle and calls tick every period (never if the
// period is zero) until the context ends.
func (l *Loop[T]) Run(ctx context.Context, handle func([]T), period time.Duration, tick func()) {
	var ticks <-chan time.Time
	if period > 0 {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		ticks = ticker.C
	}
	batch := make([]T, 0, maxBatch)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			tick()
		case first := <-l.queue:
			batch = append(batch[:0], first)
			for len(batch) < maxBatch {
				select {
				case next := <-l.queue:
					batch = append(batch, next)
					continue
				default:
				}
				break
			}
			handle(batch)
			clear(batch)
		}
	}
}

// Consume passes the items of a queue to handle, one after the other, until the
// context ends. Several consumers may share a queue. A producer that must not block
// sends without waiting and drops items that do not fit.
func Consume[T any](ctx context.Context, queue <-chan T, handle func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			handle(item)
		}
	}
}

// Every calls run at once and then every period until the context ends.
func Every(ctx context.Context, period time.Duration, run func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		run()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
