package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/emulator/virtual"
	"ploverhitch/internal/membership"
)

// Time is virtual time since the start of a run.
type Time = virtual.Time

// Options choose one run.
type Options struct {
	Seed uint64
	// Members is how many control nodes the first view has; Spares wait outside.
	Members, Spares int
	// Scenario is what goes wrong.
	Scenario Scenario
	// IsDense has many operators order without a pause, at nodes of slow disks and
	// links. So many orders stay unanswered that no order of the operations is
	// looked for; all other checks are made.
	IsDense bool
	// Without is a guard to take out; empty for none.
	Without Guard
}

// String names the run, enough to play it again.
func (o Options) String() string {
	text := fmt.Sprintf("seed %d, scenario %s, %d members, %d spares", o.Seed, o.Scenario, o.Members, o.Spares)
	if o.IsDense {
		text += ", dense"
	}
	if o.Without != "" {
		text += ", without " + string(o.Without)
	}
	return text
}

// world is one run: its time, network, nodes, load and checks.
type world struct {
	virtual.Scheduler
	options  Options
	random   *rand.Rand
	network  network
	members  map[string]*member
	names    []string
	operator *process
	proxies  []*proxy
	faults   *faults
	checks   *checks
	history  *history
	stops    []func()
}

const (
	faultSpan = 8 * time.Second
	// calmSpan follows the faults: everything heals, and all must become one.
	calmSpan = 5 * time.Second
	// usualDoubles and the others are the network's weather in every scenario.
	usualLoss, usualDoubles, usualSlow = 0.01, 0.03, 0.05
	usualSlowest                       = 120 * time.Millisecond
)

func newWorld(options Options) *world {
	w := &world{options: options, random: rand.New(rand.NewPCG(options.Seed, 0x706c6f766572))}
	w.network = network{
		world: w, random: w.random, cuts: map[link]bool{},
		loss: usualLoss, doubles: usualDoubles, slow: usualSlow, slowest: usualSlowest,
	}
	w.members = map[string]*member{}
	for at := range options.Members + options.Spares {
		w.names = append(w.names, fmt.Sprint("m", at+1))
	}
	w.history = &history{}
	w.checks = newChecks(w)
	first := membership.FirstView(w.names[:options.Members])
	w.checks.adopted(first)
	for _, name := range w.names {
		m := newMember(w, name)
		w.members[name] = m
		m.start()
		if first.Contains(name) {
			m.view = first
			m.keep(nil, record{View: &first})
			m.setTrust(true, nil)
			m.flush()
		}
	}
	w.operator = &process{world: w, name: "operator", life: 1, isUp: true}
	w.faults = &faults{world: w}
	return w
}

func (w *world) close() {
	for _, stop := range w.stops {
		stop()
	}
}

// Run plays one run to its end and checks it.
//
// Example:
//
//	result := simulation.Run(simulation.Options{Seed: 7, Members: 3, Scenario: simulation.Storm})
func Run(options Options) Result {
	w := newWorld(options)
	defer w.close()
	w.startOperators()
	w.startProxies()
	w.faults.start()
	for w.checks.err == nil && w.Step(faultSpan+calmSpan) {
	}
	if w.checks.err == nil {
		w.checks.finish()
	}
	return w.result()
}
