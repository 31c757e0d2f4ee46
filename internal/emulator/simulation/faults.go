package simulation

import (
	"slices"
	"time"

	"ploverhitch/internal/membership"
)

// replaceSpan is how long a member may go on proposing a replacement.
const replaceSpan = 4 * time.Second

// faults makes things go wrong until the calm at the end of a run.
type faults struct {
	world *world
	// replacing is the epoch that a replacement under way is to end, replacedAt
	// when it was asked for.
	replacing  membership.Epoch
	replacedAt Time
}

// isReplacing tells whether a member's place may be lost at any moment.
func (f *faults) isReplacing() bool {
	w := f.world
	return f.replacing == w.checks.newest.Epoch && w.Now < f.replacedAt+replaceSpan
}

// fault is one kind of trouble.
type fault func(*faults)

// kinds are the faults of each scenario; a kind named twice is twice as likely.
var kinds = map[Scenario][]fault{
	Storm: {
		(*faults).cutOne, (*faults).cutOneWay, (*faults).cutHalves, (*faults).kill, (*faults).losePower,
		(*faults).freeze, (*faults).stall, (*faults).fill, (*faults).stepClock, (*faults).wipe, (*faults).replace, (*faults).loseMessages,
	},
	PowerCuts:    {(*faults).losePower, (*faults).losePower, (*faults).kill, (*faults).cutOneWay, (*faults).freeze},
	DiskLosses:   {(*faults).wipe, (*faults).wipe, (*faults).wipeTwo, (*faults).cutOne, (*faults).cutOneWay, (*faults).freeze},
	Replacements: {(*faults).replace, (*faults).replace, (*faults).cutOne, (*faults).cutOneWay, (*faults).cutHalves, (*faults).wipe},
}

func (f *faults) start() {
	w := f.world
	switch w.options.Scenario {
	case Calm:
	case OneCut:
		w.network.cut(w.names[:1], append([]string{w.operator.name}, w.names...), false)
	case PowerCuts, DiskLosses, Replacements:
		if w.options.IsDense {
			w.network.slow, w.network.slowest = 0.4, voteSpan
			w.After(f.pause(), f.next)
			break
		}
		w.network.slow, w.network.slowest = 0.4, 2*voteSpan
		w.After(f.pause(), f.next)
	default:
		w.After(f.pause(), f.next)
	}
	w.After(faultSpan, f.calm)
}

func (f *faults) pause() Time {
	if f.world.options.IsDense {
		return f.span(400 * time.Millisecond)
	}
	return 50*time.Millisecond + Time(f.world.random.Int64N(int64(400*time.Millisecond)))
}

func (f *faults) next() {
	w := f.world
	if w.Now >= faultSpan {
		return
	}
	choices := kinds[w.options.Scenario]
	choices[w.random.IntN(len(choices))](f)
	w.After(f.pause(), f.next)
}

// calm ends every fault.
func (f *faults) calm() {
	w := f.world
	w.network.heal()
	w.network.loss, w.network.slow, w.network.doubles = 0, 0, 0
	for _, name := range w.names {
		m := w.members[name]
		m.disk.IsRefusing, m.isStalled = false, false
		if m.isFrozen {
			m.thaw()
		}
		if !m.isUp {
			m.start()
		}
	}
}

func (f *faults) any() *member {
	return f.world.members[f.world.names[f.world.random.IntN(len(f.world.names))]]
}

func (f *faults) span(most time.Duration) Time {
	return Time(f.world.random.Int64N(int64(most)))
}

// during does something now and undoes it after a random span.
func (f *faults) during(most time.Duration, undo func()) {
	f.world.After(f.span(most), undo)
}

func (f *faults) cut(some []string, isOneWay bool) {
	w := f.world
	others := slices.DeleteFunc(slices.Clone(w.names), func(name string) bool { return slices.Contains(some, name) })
	w.network.cut(some, others, isOneWay)
	f.during(900*time.Millisecond, w.network.heal)
}

func (f *faults) cutOne() { f.cut([]string{f.any().name}, false) }

func (f *faults) cutOneWay() {
	one := []string{f.any().name}
	if f.world.random.IntN(2) == 0 {
		f.cut(one, true)
		return
	}
	w := f.world
	w.network.cut(slices.DeleteFunc(slices.Clone(w.names), func(name string) bool { return name == one[0] }), one, true)
	f.during(900*time.Millisecond, w.network.heal)
}

func (f *faults) cutHalves() {
	var half []string
	for _, name := range f.world.names {
		if f.world.random.IntN(2) == 0 {
			half = append(half, name)
		}
	}
	f.cut(half, false)
}

func (f *faults) restart(m *member, most time.Duration) {
	f.during(most, func() {
		if !m.isUp {
			m.start()
		}
	})
}

func (f *faults) kill() {
	m := f.any()
	m.kill()
	f.restart(m, 300*time.Millisecond)
}

func (f *faults) losePower() {
	m := f.any()
	m.losePower()
	f.restart(m, 300*time.Millisecond)
	if f.world.random.IntN(8) > 0 {
		return
	}
	for _, name := range f.world.names {
		f.world.members[name].losePower()
		f.restart(f.world.members[name], 300*time.Millisecond)
	}
}

func (f *faults) freeze() {
	m := f.any()
	m.isFrozen = true
	f.during(900*time.Millisecond, m.thaw)
}

func (f *faults) stall() {
	m := f.any()
	m.isStalled = true
	f.during(2*time.Second, func() { m.isStalled = false })
}

func (f *faults) fill() {
	m := f.any()
	m.disk.IsRefusing = true
	f.during(time.Second, func() { m.disk.IsRefusing = false })
}

// stepClock moves a member's wall clock by up to half an hour each way.
func (f *faults) stepClock() {
	f.any().wallOffset = f.span(time.Hour) - 30*time.Minute
}

// wipe takes a disk, while the losses stay within the tolerance.
func (f *faults) wipe() {
	m := f.any()
	if f.isReplacing() || !f.world.checks.mayLose(m) {
		return
	}
	m.wipe()
	f.restart(m, 60*time.Millisecond)
}

// wipeTwo takes two disks at once, where the tolerance allows it.
func (f *faults) wipeTwo() {
	f.wipe()
	f.wipe()
}

func (f *faults) loseMessages() {
	w := f.world
	w.network.loss = 0.2
	f.during(time.Second, func() { w.network.loss = usualLoss })
}

// replace has some member propose that another be replaced by a spare.
func (f *faults) replace() {
	w := f.world
	view := w.checks.newest
	out, in := f.any().name, f.any().name
	proposer := w.members[view.Members[w.random.IntN(len(view.Members))]]
	if !view.Contains(out) || view.Contains(in) || out == proposer.name || f.isReplacing() || !w.checks.mayLose(w.members[out]) {
		return
	}
	f.replacing, f.replacedAt = view.Epoch, w.Now
	call(w.operator, proposer.name, replacement{out, in}, (*member).onReplace, func(struct{}) {})
}
