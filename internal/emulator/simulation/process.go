package simulation

import "iter"

// process is one running program: it may be killed, restarted and frozen.
type process struct {
	world *world
	name  string
	// life numbers the starts; what belongs to an earlier one never runs again.
	life     uint64
	isUp     bool
	isFrozen bool
	// backlog is what waits for the end of a freeze.
	backlog []func()
}

// after schedules a function of the present life.
func (p *process) after(delay Time, run func()) {
	life := p.life
	p.world.After(delay, func() { p.deliver(life, run) })
}

// deliver runs a function, at once or after the freeze, if that life lasts.
func (p *process) deliver(life uint64, run func()) {
	switch {
	case !p.isUp || p.life != life:
	case p.isFrozen:
		p.backlog = append(p.backlog, func() { p.deliver(life, run) })
	default:
		run()
	}
}

func (p *process) thaw() {
	backlog := p.backlog
	p.isFrozen, p.backlog = false, nil
	for _, run := range backlog {
		run()
	}
}

// task is a function of a process in blocking style. It runs as a coroutine, so
// that the scheduler alone decides when it goes on.
type task struct {
	process *process
	yield   func(struct{}) bool
	next    func() (struct{}, bool)
}

// stopped unwinds a task whose run is over.
type stopped struct{}

// spawn starts a task in the process's present life.
func (p *process) spawn(body func(*task)) {
	t := &task{process: p}
	next, stop := iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			if reason := recover(); reason != nil {
				if _, isStopped := reason.(stopped); !isStopped {
					panic(reason)
				}
			}
		}()
		body(t)
	})
	t.next = next
	p.world.stops = append(p.world.stops, stop)
	p.after(0, t.wake)
}

// park hands control back until the next wake.
func (t *task) park() {
	if !t.yield(struct{}{}) {
		panic(stopped{})
	}
}

func (t *task) wake() { t.next() }

func (t *task) sleep(span Time) {
	t.process.after(span, t.wake)
	t.park()
}
