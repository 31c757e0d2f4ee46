package clock

import (
	"context"
	"time"
)

// Loop is the select loop of an owner: commands come through the inbox and are
// handed over in batches, an alarm rings between them. What a table's owner
// does is written as two closures; the loop itself is written once, here.
//
// Example:
//
//	loop := clock.NewLoop[command](256)
//	go loop.Run(ctx, apply, 100*time.Millisecond, tick)
//	loop.Put(command{})
type Loop[T any] struct {
	queue chan T
}

// NewLoop makes a loop whose inbox holds size commands.
//
// Example:
//
//	loop := clock.NewLoop[string](16)
func NewLoop[T any](size int) *Loop[T] {
	return &Loop[T]{queue: make(chan T, size)}
}

// Put waits until the inbox takes the command.
//
// Example:
//
//	loop.Put("all aboard")
func (l *Loop[T]) Put(command T) { l.queue <- command }

// Offer puts the command if the inbox has room, and tells whether it had.
//
// Example:
//
//	if !loop.Offer(command) { refuse() }
func (l *Loop[T]) Offer(command T) bool {
	select {
	case l.queue <- command:
		return true
	default:
		return false
	}
}

const maxBatch = 512

// Run hands over batches of commands, and rings the alarm every period (never,
// if the period is zero), until the context ends.
//
// Example:
//
//	loop.Run(ctx, func(batch []string) { log(batch) }, 0, nil)
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

// Each gives what an inbox holds to act, one after the other, until the context
// ends. Several may share an inbox; one that must not wait offers to it, and drops
// what it has no room for.
//
// Example:
//
//	go clock.Each(ctx, inbox, send)
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

// Every calls act at once and then each period until the context ends.
//
// Example:
//
//	go clock.Every(ctx, time.Second, beat)
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
