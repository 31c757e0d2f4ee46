package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

// promiser is the member's side of the lease; a world may be built with one that is
// broken on purpose.
type promiser interface {
	Wait(now timetable.Steady)
	Claim(held, wanted membership.Term, now timetable.Steady) bool
	Renew(held, term membership.Term, now timetable.Steady) bool
	Release(held, term membership.Term)
}

// build says how a world makes the two sides of the lease.
type build struct {
	grantor func() promiser
	holder  func() *lease.Holder
	// isTrustedAtOnce leaves out the wait of a member that is new in the view.
	isTrustedAtOnce bool
	// drift is how far the rates of the steady clocks may be off.
	drift float64
}

const (
	tickPeriod = 300 * time.Millisecond
	// driftMost is the drift that the lease's margin must bear.
	driftMost = 0.02
	pool      = 6
)

// node is one machine. Its disk holds term, view and trust; the rest is of one life.
type node struct {
	name        string
	offset      time.Duration
	rate        float64
	frozenUntil time.Duration
	life        int
	isUp        bool
	term        membership.Term
	view        membership.View
	isTrusted   bool
	grantor     promiser
	holder      *lease.Holder
	heldTerm    uint64
	read        map[string]membership.Term
	readFor     membership.Epoch
}

// world plays members of a core under random trouble, and checks after every step
// that no two leases are valid at one moment.
type world struct {
	build    build
	random   *rand.Rand
	now      time.Duration
	queue    events
	sequence int
	nodes    []*node
	newest   membership.View
	cut      map[[2]string]time.Duration
	wins     int
	holders  map[string]bool
	// violation tells of two leases at once.
	violation string
}

func newWorld(seed uint64, b build) *world {
	w := &world{build: b, random: rand.New(rand.NewPCG(seed, 17)), cut: map[[2]string]time.Duration{}, holders: map[string]bool{}}
	members := 3 + 2*w.random.IntN(2)
	var names []string
	for number := range pool {
		n := &node{
			name: fmt.Sprint("n", number), offset: time.Duration(w.random.Int64N(int64(time.Hour))),
			rate: 1 + b.drift*(2*w.random.Float64()-1), isUp: true, grantor: b.grantor(), holder: b.holder(),
		}
		w.nodes = append(w.nodes, n)
		if number < members {
			names = append(names, n.name)
		}
	}
	w.newest = membership.FirstView(names)
	for _, n := range w.nodes {
		n.view, n.isTrusted = w.newest, w.newest.Contains(n.name)
		w.tickLater(n)
	}
	return w
}

// play runs the world for a while and tells what was violated.
func (w *world) play(length time.Duration) string {
	w.after(time.Second, w.trouble)
	for w.now < length && w.violation == "" && len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.act()
		w.check()
	}
	return w.violation
}

// check is the plain checker: at most one lease is valid, by its holder's clock.
func (w *world) check() {
	valid := ""
	for _, n := range w.nodes {
		if !n.isUp || n.holder.Remaining(n.heldTerm, w.clock(n)) == 0 {
			continue
		}
		w.holders[n.name] = true
		if valid != "" {
			w.violation = fmt.Sprintf("at %v both %s and %s (term %d) hold the duty", w.now, valid, n.name, n.heldTerm)
		}
		valid = n.name
	}
}

func (w *world) clock(n *node) timetable.Steady {
	return timetable.Steady(n.offset + time.Duration(n.rate*float64(w.now)))
}

func (w *world) after(span time.Duration, act func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + span, w.sequence, act})
}

// at runs act at a node, once it isn't frozen, if it still lives the same life.
func (w *world) at(n *node, span time.Duration, act func()) {
	life := n.life
	var run func()
	run = func() {
		switch {
		case n.life != life || !n.isUp:
		case n.frozenUntil > w.now:
			w.after(n.frozenUntil-w.now, run)
		default:
			act()
		}
	}
	w.after(span, run)
}

// deliver runs act at a node that a message reaches, in whatever life it is.
func (w *world) deliver(from, to string, act func(n *node)) {
	if w.random.Float64() < 0.08 || w.now < w.cut[[2]string{from, to}] {
		return
	}
	n := w.node(to)
	var run func()
	run = func() {
		switch {
		case !n.isUp:
		case n.frozenUntil > w.now:
			w.after(n.frozenUntil-w.now, run)
		default:
			act(n)
		}
	}
	w.after(w.delay(from == to), run)
	if w.random.Float64() < 0.03 {
		w.after(w.delay(false), run)
	}
}

func (w *world) delay(isSelf bool) time.Duration {
	switch {
	case isSelf:
		return time.Duration(w.random.Int64N(int64(2 * time.Millisecond)))
	case w.random.Float64() < 0.05:
		return time.Duration(w.random.Int64N(int64(3 * time.Second)))
	default:
		return time.Duration(w.random.Int64N(int64(60 * time.Millisecond)))
	}
}

func (w *world) node(name string) *node {
	at := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	return w.nodes[at]
}

func (n *node) votesIn(epoch membership.Epoch) bool {
	return n.isTrusted && n.view.Epoch == epoch && n.view.Contains(n.name)
}

// event is something that happens at a moment; events of one moment keep their order.
type event struct {
	at       time.Duration
	sequence int
	act      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
