package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

const (
	// proposeSpan bounds how long an order waits for a decision at this node;
	// operators take another node after a second of silence.
	proposeSpan = 900 * time.Millisecond
	// backoffStep is the unit of the random pause after a lost round.
	backoffStep = 12 * time.Millisecond
	// maintainPeriod is how often a replica looks for changes that were accepted
	// but whose decision nobody told, and undecidedAfter how long it waits first;
	// members take turns by rankStep.
	maintainPeriod = 50 * time.Millisecond
	undecidedAfter = 150 * time.Millisecond
	rankStep       = 80 * time.Millisecond
	orderQueue     = 256
	batchMost      = 64
	// isolatedSpan is for how long no majority may answer before an order is
	// given up: longer than it takes to make broken connections again.
	isolatedSpan = 400 * time.Millisecond
)

// order is an operator's order that waits for a decision.
type order struct {
	items []config.Item
	until timetable.Steady
	done  chan decision
}

// decision is what became of an order, and the set in which it holds.
type decision struct {
	index registry.Index
	err   error
}

// registrar proposes the orders that reach this node and keeps its replica of
// the item set up to date.
type registrar struct {
	node  *node
	queue chan *order
	// round is the highest round of a ballot met; the proposing loop owns it.
	round uint64
	// catching holds one place: a node catches up with one other at a time.
	catching chan struct{}
	// undecided is the accepted change last seen without its decision, and since
	// when; the maintaining loop owns both.
	undecided   membership.Number
	undecidedAt timetable.Steady
}

func newRegistrar(n *node) *registrar {
	return &registrar{node: n, queue: make(chan *order, orderQueue), catching: make(chan struct{}, 1)}
}

// ballotName is a name for ballots that no other life of the process has.
func ballotName(address string) string {
	return address + "#" + strconv.FormatUint(rand.Uint64(), 36)
}

func (r *registrar) run(ctx context.Context) {
	go timetable.Every(ctx, maintainPeriod, r.maintain)
	timetable.Each(ctx, r.queue, func(first *order) { r.settle(r.batch(first)) })
}

// batch is the order with those that wait behind it.
func (r *registrar) batch(first *order) []*order {
	orders := []*order{first}
	for len(orders) < batchMost {
		select {
		case next := <-r.queue:
			orders = append(orders, next)
		default:
			return orders
		}
	}
	return orders
}

// isServing tells whether this node votes in the epoch.
func (n *node) isServing(t *tables, epoch membership.Epoch) bool {
	return t.isTrusted && t.view.Epoch == epoch && t.view.Has(n.self)
}

// submit has this node propose an order and waits for what becomes of it.
func (r *registrar) submit(items []config.Item) (registry.Index, error) {
	o := &order{items: items, until: r.node.clock.Steady() + timetable.Steady(proposeSpan), done: make(chan decision, 1)}
	select {
	case r.queue <- o:
	default:
		return 0, apierror.New(apierror.Gone, "too many orders wait")
	}
	timeout := time.NewTimer(proposeSpan)
	defer timeout.Stop()
	select {
	case decided := <-o.done:
		return decided.index, decided.err
	case <-timeout.C:
		return 0, errNoDecision
	}
}

// settle proposes until the orders are decided on, or their time is over.
func (r *registrar) settle(orders []*order) {
	heardAt := r.node.clock.Steady()
	for attempt := 1; time.Duration(r.node.clock.Steady()-heardAt) < isolatedSpan; attempt++ {
		now := r.node.clock.Steady()
		orders = slices.DeleteFunc(orders, func(o *order) bool { return o.until <= now })
		if len(orders) == 0 {
			return
		}
		isDecided, isHeard := r.propose(orders)
		if isDecided {
			return
		}
		if isHeard {
			heardAt = r.node.clock.Steady()
		}
		r.node.clock.Sleep(rand.N(backoffStep * time.Duration(min(attempt, 8))))
	}
	for _, o := range orders {
		o.done <- decision{err: errNoDecision}
	}
}

// propose plays one round for the orders and tells whether they are decided on,
// and whether a majority was heard at all.
func (r *registrar) propose(orders []*order) (isDecided, isHeard bool) {
	n := r.node
	round, view, isServing := registry.Round{}, membership.View{}, false
	n.store.read(func(t *tables) {
		view, isServing = t.view, n.isServing(t, t.view.Epoch)
		round.Epoch, round.Index, round.Majority = t.view.Epoch, t.registry.Next(), t.view.Majority()
	})
	if !isServing {
		return false, false
	}
	r.round++
	round.Ballot = membership.Number{Round: r.round, Node: n.proposer}
	attempt := &attempt{node: n, orders: orders, index: round.Index}
	round.Draft = attempt.draft
	outcome := round.Run(&peers{node: n, view: view, began: n.clock.Steady()})
	r.round = max(r.round, outcome.Highest.Round)
	if outcome.View != nil {
		n.adopt(*outcome.View)
	}
	if outcome.Decided != nil {
		r.tell(*outcome.Decided)
	}
	r.bringUp(outcome.Behind)
	if outcome.Ahead >= round.Index {
		r.catchUpWith(outcome.AheadOf)
	}
	isHeard = outcome.Heard >= round.Majority
	if outcome.Decided == nil && !outcome.IsQuiet || !attempt.isDrafted {
		return false, isHeard
	}
	attempt.answer(outcome)
	return true, isHeard
}

// tell brings a decided change to every member, this one first.
func (r *registrar) tell(change registry.Change) {
	n := r.node
	n.learn([]registry.Change{change}, func(bool) {})
	in := messages.Learn{From: n.self, Changes: []registry.Change{change}}
	for _, member := range n.view().Members {
		if member != n.self {
			n.line(member).Send(messages.KindLearn, in, nil)
		}
	}
}

// bringUp sends members that could not take part in a round what they lack, so that
// they can in the next. One that lacks more than is kept catches up by itself.
func (r *registrar) bringUp(behind map[string]registry.Index) {
	for member, index := range behind {
		in := messages.Learn{From: r.node.self}
		r.node.store.read(func(t *tables) {
			in.Changes, _, _ = t.registry.Since(index, pageBytes)
			if latest, isAny := t.registry.Latest(); isAny && len(in.Changes) == 0 {
				in.Changes = []registry.Change{latest}
			}
		})
		r.node.line(member).Send(messages.KindLearn, in, nil)
	}
}

// maintain finishes what a proposer left: a change that this replica accepted but
// whose decision it was not told, and a set of an older build without a number.
func (r *registrar) maintain() {
	n := r.node
	var accepted membership.Number
	rank, isUndecided, isLegacy := 0, false, false
	n.store.read(func(t *tables) {
		if !n.isServing(t, t.view.Epoch) {
			return
		}
		rank = slices.Index(t.view.Members, n.self)
		accepted, isUndecided = t.registry.Acceptor.Accepted, t.registry.Acceptor.Change != nil
		isLegacy = t.registry.Index == 0 && len(t.book()) > 0
	})
	now := n.clock.Steady()
	if !isUndecided && !isLegacy {
		r.undecidedAt = 0
		return
	}
	if accepted != r.undecided || r.undecidedAt == 0 {
		r.undecided, r.undecidedAt = accepted, now
		return
	}
	if wait := undecidedAfter + time.Duration(rank)*rankStep; time.Duration(now-r.undecidedAt) < wait {
		return
	}
	r.undecidedAt = 0
	if _, err := r.submit(nil); err != nil {
		n.note("info", "finishing a change", "error", err)
	}
}
