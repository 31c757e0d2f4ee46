package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/membership"
)

// leaseGrantor is the member's side of the lease; simulations may use deliberately
// faulty implementations.
type leaseGrantor interface {
	DenyClaims(now clock.Instant)
	Claim(current, claimed membership.Term, now clock.Instant) bool
	Renew(current, term membership.Term, now clock.Instant) bool
	Release(current, term membership.Term)
}

// options are the implementations and the clock drift that a simulation uses.
type options struct {
	grantor func() leaseGrantor
	holder  func() *lease.Holder
	// skipViewWait omits the wait of a member that is new in the view.
	skipViewWait bool
	// maxDrift is the largest deviation of a clock's rate from 1.
	maxDrift float64
}

const (
	tickPeriod = 300 * time.Millisecond
	// toleratedDrift is the drift that the lease's margin must tolerate.
	toleratedDrift = 0.02
	nodeCount      = 6
)

// node is one machine. term, view and trusted are on its disk; the rest is lost at a
// restart.
type node struct {
	name        string
	clockOffset time.Duration
	clockRate   float64
	pausedUntil time.Duration
	incarnation int
	running     bool
	term        membership.Term
	view        membership.View
	trusted     bool
	grantor     leaseGrantor
	holder      *lease.Holder
	heldTerm    uint64
	readTerms   map[string]membership.Term
	readEpoch   membership.Epoch
}

// simulation runs members of a control plane with random faults, and checks after
// every event that no two leases are valid at the same time.
type simulation struct {
	options       options
	random        *rand.Rand
	now           time.Duration
	queue         events
	sequence      int
	nodes         []*node
	newestView    membership.View
	linkDownUntil map[[2]string]time.Duration
	wonClaims     int
	holders       map[string]bool
	// violation describes two leases that were valid at the same time.
	violation string
}

func newSimulation(seed uint64, o options) *simulation {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(seed, 17)), linkDownUntil: map[[2]string]time.Duration{}, holders: map[string]bool{}}
	members := 3 + 2*s.random.IntN(2)
	var names []string
	for number := range nodeCount {
		n := &node{
			name: fmt.Sprint("n", number), clockOffset: time.Duration(s.random.Int64N(int64(time.Hour))),
			clockRate: 1 + o.maxDrift*(2*s.random.Float64()-1), running: true, grantor: o.grantor(), holder: o.holder(),
		}
		s.nodes = append(s.nodes, n)
		if number < members {
			names = append(names, n.name)
		}
	}
	s.newestView = membership.FirstView(names)
	for _, n := range s.nodes {
		n.view, n.trusted = s.newestView, s.newestView.Contains(n.name)
		s.scheduleTick(n)
	}
	return s
}

// run runs the simulation for the duration and returns the violation, if any.
func (s *simulation) run(duration time.Duration) string {
	s.schedule(time.Second, s.injectFault)
	for s.now < duration && s.violation == "" && len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = max(s.now, e.at)
		e.action()
		s.check()
	}
	return s.violation
}

// check checks that at most one lease is valid by its holder's clock.
func (s *simulation) check() {
	valid := ""
	for _, n := range s.nodes {
		if !n.running || n.holder.Remaining(n.heldTerm, s.clock(n)) == 0 {
			continue
		}
		s.holders[n.name] = true
		if valid != "" {
			s.violation = fmt.Sprintf("at %v both %s and %s (term %d) hold the lease", s.now, valid, n.name, n.heldTerm)
		}
		valid = n.name
	}
}

func (s *simulation) clock(n *node) clock.Instant {
	return clock.Instant(n.clockOffset + time.Duration(n.clockRate*float64(s.now)))
}

func (s *simulation) schedule(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + delay, s.sequence, action})
}

// scheduleAt runs an action at a node once it isn't paused, unless the node restarts
// before then.
func (s *simulation) scheduleAt(n *node, delay time.Duration, action func()) {
	incarnation := n.incarnation
	var run func()
	run = func() {
		switch {
		case n.incarnation != incarnation || !n.running:
		case n.pausedUntil > s.now:
			s.schedule(n.pausedUntil-s.now, run)
		default:
			action()
		}
	}
	s.schedule(delay, run)
}

// deliver sends a message that runs an action at its receiver, even if the receiver
// restarts before then. Messages may be lost, delayed or duplicated.
func (s *simulation) deliver(from, to string, action func(n *node)) {
	if s.random.Float64() < 0.08 || s.now < s.linkDownUntil[[2]string{from, to}] {
		return
	}
	n := s.node(to)
	var run func()
	run = func() {
		switch {
		case !n.running:
		case n.pausedUntil > s.now:
			s.schedule(n.pausedUntil-s.now, run)
		default:
			action(n)
		}
	}
	s.schedule(s.delay(from == to), run)
	if s.random.Float64() < 0.03 {
		s.schedule(s.delay(false), run)
	}
}

func (s *simulation) delay(local bool) time.Duration {
	switch {
	case local:
		return time.Duration(s.random.Int64N(int64(2 * time.Millisecond)))
	case s.random.Float64() < 0.05:
		return time.Duration(s.random.Int64N(int64(3 * time.Second)))
	default:
		return time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
	}
}

func (s *simulation) node(name string) *node {
	index := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
	return s.nodes[index]
}

func (n *node) votesIn(epoch membership.Epoch) bool {
	return n.trusted && n.view.Epoch == epoch && n.view.Contains(n.name)
}

// event is an action at a point in time; simultaneous events run in the order in
// which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	action   func()
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
