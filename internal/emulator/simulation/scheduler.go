package simulation

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

// scheduler owns virtual time and the events to come.
type scheduler struct {
	now      Time
	sequence uint64
	queue    eventQueue
}

// after schedules a function.
func (s *scheduler) after(delay Time, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + max(0, delay), s.sequence, run})
}

// step runs the next event before the end; it tells whether there was one.
func (s *scheduler) step(end Time) bool {
	if len(s.queue) == 0 || s.queue[0].at > end {
		s.now = max(s.now, end)
		return false
	}
	next := heap.Pop(&s.queue).(event)
	s.now = next.at
	next.run()
	return true
}
