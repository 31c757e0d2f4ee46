// Package virtual is the virtual time in which the emulators run: a scheduler that
// orders events by their moment, the same for every run of one seed. Only the emulators
// import it.
package virtual

import (
	"container/heap"
	"time"
)

// Time is virtual time since the start of a run.
type Time = time.Duration

// event is a function that runs at a moment of virtual time.
type event struct {
	at       Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, the earliest first; events of one moment run
// in the order in which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// Scheduler owns virtual time and the events to come.
type Scheduler struct {
	// Now is the moment that has been reached.
	Now Time
	// Sequence counts the events that were scheduled.
	Sequence uint64
	queue    eventQueue
}

// After schedules a function.
//
// Example:
//
//	scheduler.After(time.Second, func() { tick() })
func (s *Scheduler) After(delay Time, run func()) {
	s.Sequence++
	heap.Push(&s.queue, event{s.Now + max(0, delay), s.Sequence, run})
}

// Step runs the next event before the end; it tells whether there was one.
//
// Example:
//
//	for scheduler.Step(30 * time.Second) {
//	}
func (s *Scheduler) Step(end Time) bool {
	if len(s.queue) == 0 || s.queue[0].at > end {
		s.Now = max(s.Now, end)
		return false
	}
	next := heap.Pop(&s.queue).(event)
	s.Now = next.at
	next.run()
	return true
}
