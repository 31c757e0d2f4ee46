package simulation

import (
	"errors"
	"fmt"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

const (
	voteSpan     = 250 * time.Millisecond
	orderSpan    = 1500 * time.Millisecond
	proposePause = 30 * time.Millisecond
)

// Verdict is what became of an order.
type Verdict uint8

// The verdicts. Unknown stands for an order that no node answered.
const (
	Unknown Verdict = iota
	Acknowledged
	Conflicting
	Invalid
)

// errTaken says that another route holds an order's host and prefix.
var errTaken = errors.New("the place is taken")

// pendingOrder is an order that waits for a change of its node.
type pendingOrder struct {
	items   []config.Item
	expires Time
	answer  func(Verdict)
	verdict Verdict
}

// proposer batches the orders that reach one member into rounds.
type proposer struct {
	member    *member
	name      string
	round     uint64
	viewRound uint64
	queue     []*pendingOrder
	isRunning bool
}

func newProposer(m *member) proposer {
	name := fmt.Sprintf("%s/%d", m.name, m.life)
	if !m.world.has(BallotPerLife) {
		name = m.name
	}
	return proposer{member: m, name: name}
}

// orderRequest is one sending of an order. It comes over one connection, so that
// a node takes it once.
type orderRequest struct {
	items   []config.Item
	isTaken bool
}

func (m *member) onOrder(request *orderRequest, answer func(Verdict)) {
	if request.isTaken {
		return
	}
	request.isTaken = true
	p := &m.proposer
	p.queue = append(p.queue, &pendingOrder{items: request.items, expires: m.world.Now + orderSpan, answer: answer})
	if !p.isRunning {
		p.isRunning = true
		m.spawn(p.run)
	}
}

func (p *proposer) run(t *task) {
	for {
		p.dropExpired()
		if len(p.queue) == 0 {
			p.isRunning = false
			return
		}
		if !p.attempt(t, p.queue) {
			t.sleep(Time(p.member.random.Int64N(int64(proposePause))))
		}
	}
}

func (p *proposer) dropExpired() {
	var waiting []*pendingOrder
	for _, order := range p.queue {
		if order.expires > p.member.world.Now && order.verdict == Unknown {
			waiting = append(waiting, order)
		}
	}
	p.queue = waiting
}

// attempt plays one round for the change that follows the member's set, with
// what the orders come to; it tells whether the orders were decided on.
func (p *proposer) attempt(t *task, orders []*pendingOrder) bool {
	m := p.member
	p.round++
	ballot := membership.Ballot{Round: p.round, Node: p.name}
	index, isDrafted := m.replica.Next(), false
	verdicts := make([]Verdict, len(orders))
	round := registry.Round{Epoch: m.view.Epoch, Index: index, Ballot: ballot, Majority: m.view.Majority()}
	round.Draft = func([]config.Item) (registry.Change, bool) {
		isDrafted = m.replica.Next() == index
		draft := m.replica.Draft(checkRoutes)
		for at, order := range orders {
			verdicts[at] = m.verdictOf(draft.Add(order.items))
		}
		return draft.Change()
	}
	outcome := round.Run(&peers{task: t, member: m, view: m.view})
	p.round = max(p.round, outcome.HighestBallot.Round)
	p.hear(t, index, outcome)
	if !isDrafted || outcome.Decided == nil && !outcome.NothingToPropose {
		return outcome.Decided != nil
	}
	for at, order := range orders {
		order.verdict = verdicts[at]
		m.world.checks.answered(order.items, order.verdict)
		order.answer(order.verdict)
	}
	return true
}

func (m *member) verdictOf(err error) Verdict {
	var conflict *registry.ConflictError
	switch {
	case err == nil:
		return Acknowledged
	case errors.As(err, &conflict) && !m.world.has(ContentCheck):
		return Acknowledged
	case errors.As(err, &conflict):
		return Conflicting
	}
	return Invalid
}

// hear takes in what a round told beside its outcome.
func (p *proposer) hear(t *task, index registry.Index, outcome registry.Outcome) {
	m := p.member
	if outcome.View != nil {
		m.adopt(*outcome.View)
	}
	if outcome.Decided != nil {
		m.learn(*outcome.Decided)
		for _, name := range m.view.Members {
			if name != m.name {
				call(&m.process, name, *outcome.Decided, (*member).onLearn, func(struct{}) {})
			}
		}
	}
	if outcome.HighestIndex >= index {
		m.catchUp(t, outcome.HighestIndex)
	}
}

// peers carries the messages of one round.
type peers struct {
	task   *task
	member *member
	view   membership.View
}

// Prepare asks all members and returns the promises that came in time.
func (p *peers) Prepare(prepare registry.Prepare) []registry.Promise {
	promises := gather(p.task, p.view.Members, voteSpan, prepare, (*member).onPrepare, func(promises []registry.Promise) bool {
		count := 0
		for _, promise := range promises {
			if promise.OK {
				count++
			}
		}
		return count >= p.view.Majority()
	})
	if !p.member.world.has(AdoptAccepted) {
		for at := range promises {
			promises[at].Acceptor.Change = nil
		}
	}
	return promises
}

// Accept asks all members and returns the answers that came in time.
func (p *peers) Accept(accept registry.Accept) []registry.Acceptance {
	if !p.member.world.has(IncarnationCheck) {
		accept.Incarnations = nil
	}
	return gather(p.task, p.view.Members, voteSpan, accept, (*member).onAccept, func(acceptances []registry.Acceptance) bool {
		count := 0
		for _, acceptance := range acceptances {
			if acceptance.OK {
				count++
			}
		}
		return count >= p.view.Majority()
	})
}
