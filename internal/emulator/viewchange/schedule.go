package viewchange

import (
	"fmt"
	"slices"
)

// Step counts heartbeat intervals.
type Step int

// EventKind is what happens to a machine.
type EventKind uint8

// The kinds of events.
const (
	// Removed: the machine is gone for good, and another one with an empty disk follows.
	Removed EventKind = iota
	// Cut: the machine reaches no other one for a while.
	Cut
	// Wiped: the machine restarts with an empty disk.
	Wiped
)

var kindNames = [...]string{"removed", "cut", "wiped"}

const (
	successorDelay Step = 3
	cutLength      Step = 17
	restartLength  Step = 2
	// syncSteps is the bound Sync: how long a machine counts as lost after its return.
	syncSteps Step = 14
	// recoverySteps is the bound Recovery.
	recoverySteps Step = 50
)

// Event is one loss: a member of the first view, by its place, at a time.
type Event struct {
	Kind   EventKind
	Member int
	At     Step
}

// returned is when the machine, or the one that replaces it, runs and is connected.
func (e Event) returned() Step {
	return e.At + [...]Step{successorDelay, cutLength, restartLength}[e.Kind]
}

// Schedule is what happens in one run.
type Schedule []Event

// String names the events.
func (s Schedule) String() (text string) {
	for _, event := range s {
		text += fmt.Sprintf("%s %d at step %d; ", kindNames[event.Kind], event.Member, event.At)
	}
	return text
}

// isTolerated reports whether no more machines are lost at once than the system must bear.
func (s Schedule) isTolerated(tolerance int) bool {
	for _, event := range s {
		lost := 0
		for _, other := range s {
			if other.At <= event.At && event.At < other.returned()+syncSteps {
				lost++
			}
		}
		if lost > tolerance {
			return false
		}
	}
	return true
}

func (s Schedule) lastReturn() (last Step) {
	for _, event := range s {
		last = max(last, event.returned())
	}
	return last
}

// Plan is the set of schedules of an exploration.
type Plan struct {
	Kinds []EventKind
	// Members is the size of the view, which bears (Members-1)/2 losses at once.
	Members int
	// Latest is the last time of an event, and Grid the distance between two times.
	Latest, Grid Step
}

func (p Plan) tolerance() int { return (p.Members - 1) / 2 }

// schedules calls visit with each schedule within the tolerance that has an event at step 0:
// others differ from one of these by a shift only.
func (p Plan) schedules(visit func(Schedule)) {
	p.extend(nil, func(schedule Schedule) {
		if schedule.isTolerated(p.tolerance()) && slices.ContainsFunc(schedule, func(e Event) bool { return e.At == 0 }) {
			visit(schedule)
		}
	})
}

func (p Plan) extend(schedule Schedule, visit func(Schedule)) {
	if len(schedule) == len(p.Kinds) {
		visit(slices.Clone(schedule))
		return
	}
	for member := range p.Members {
		if slices.ContainsFunc(schedule, func(e Event) bool { return e.Member == member }) {
			continue
		}
		for at := Step(0); at <= p.Latest; at += p.Grid {
			p.extend(append(schedule, Event{p.Kinds[len(schedule)], member, at}), visit)
		}
	}
}
