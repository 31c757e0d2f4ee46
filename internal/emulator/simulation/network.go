package simulation

import (
	"math/rand/v2"
	"time"
)

const (
	usualDelay = 3 * time.Millisecond
	loopDelay  = 50 * time.Microsecond
)

// link is one direction between two processes.
type link struct{ from, to string }

// network carries messages. Each copy of a message has a delay of its own, so
// messages overtake one another.
type network struct {
	world  *world
	random *rand.Rand
	cuts   map[link]bool
	// loss and doubles are the parts of messages that are lost and duplicated,
	// slow the part that takes up to slowest.
	loss, doubles, slow float64
	slowest             Time
}

// send delivers a message, or not; a cut takes also what is under way.
func (n *network) send(from, to string, deliver func()) {
	if from == to {
		n.world.After(loopDelay, deliver)
		return
	}
	copies := 1
	if n.random.Float64() < n.doubles {
		copies = 2
	}
	for range copies {
		if n.random.Float64() < n.loss {
			continue
		}
		n.world.After(n.delay(), func() {
			if !n.cuts[link{from, to}] {
				deliver()
			}
		})
	}
}

func (n *network) delay() Time {
	if n.random.Float64() < n.slow {
		return Time(n.random.Int64N(int64(n.slowest)))
	}
	return loopDelay + Time(n.random.Int64N(int64(usualDelay)))
}

// cut takes away the links between two groups, one way or both.
func (n *network) cut(some, others []string, isOneWay bool) {
	for _, from := range some {
		for _, to := range others {
			if from == to {
				continue
			}
			n.cuts[link{from, to}] = true
			if !isOneWay {
				n.cuts[link{to, from}] = true
			}
		}
	}
}

func (n *network) heal() { clear(n.cuts) }

// call sends a request to a member and gives its answers to got, on the life of
// the asker that sent it. A duplicated message gives two answers.
func call[Request, Answer any](from *process, to string, request Request, serve func(*member, Request, func(Answer)), got func(Answer)) {
	w, life := from.world, from.life
	w.network.send(from.name, to, func() {
		server := w.members[to]
		server.deliver(server.life, func() {
			serve(server, request, func(answer Answer) {
				w.network.send(to, from.name, func() {
					from.deliver(life, func() { got(answer) })
				})
			})
		})
	})
}

// gather asks members at once and returns the answers that came within the span
// from the asking, by the asker's steady clock, one a member at most.
func gather[Request, Answer any](t *task, members []string, span Time, request Request, serve func(*member, Request, func(Answer)), isEnough func([]Answer) bool) (answers []Answer) {
	p, isOver := t.process, false
	began := p.world.Now
	finish := func() {
		if !isOver {
			isOver = true
			t.wake()
		}
	}
	for _, name := range members {
		hasAnswered := false
		call(p, name, request, serve, func(answer Answer) {
			if isOver || hasAnswered || p.world.Now-began > span {
				return
			}
			hasAnswered = true
			answers = append(answers, answer)
			if len(answers) == len(members) || isEnough(answers) {
				finish()
			}
		})
	}
	p.after(span, finish)
	t.park()
	return answers
}

// ask asks one member.
func ask[Request, Answer any](t *task, name string, span Time, request Request, serve func(*member, Request, func(Answer))) (answer Answer, isAnswered bool) {
	answers := gather(t, []string{name}, span, request, serve, func([]Answer) bool { return true })
	if len(answers) == 0 {
		return answer, false
	}
	return answers[0], true
}
