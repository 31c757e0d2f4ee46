package simulation

import (
	"time"

	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
)

const settlePause = 150 * time.Millisecond

// settle keeps the member in the newest view, brings its set up to the others',
// and rebuilds it where it is not trusted.
func (m *member) settle(t *task) {
	began := m.world.Now
	for {
		m.findView(t)
		if m.view.Contains(m.name) && !m.isTrusted {
			wait := 2*voteSpan - (m.world.Now - began)
			if wait > 0 && m.world.has(WaitAfterWipe) {
				t.sleep(wait)
			}
			m.rebuild(t)
		}
		if name := m.world.names[m.random.IntN(len(m.world.names))]; name != m.name {
			m.pull(t, name)
		}
		t.sleep(settlePause)
	}
}

func (m *member) findView(t *task) {
	views := gather(t, m.world.names, askSpan, struct{}{}, (*member).onView, func(views []membership.View) bool { return len(views) >= 3 })
	for _, view := range views {
		m.adopt(view)
	}
}

// adopt goes over to a newer view; outside it, nothing held is relied on.
func (m *member) adopt(view membership.View) {
	if view.Epoch <= m.view.Epoch {
		return
	}
	m.view, m.viewAcceptor = view, membership.Acceptor{}
	m.keep(nil, record{View: &view})
	m.world.checks.adopted(view)
	if !view.Contains(m.name) {
		m.setTrust(false, nil)
	}
}

func (m *member) setTrust(isTrusted bool, done func()) {
	m.isTrusted = isTrusted
	m.keep(done, record{Trusted: &isTrusted})
}

// rebuild reads what enough other members hold, keeps the union, and then takes
// part in rounds again.
func (m *member) rebuild(t *task) {
	view, read := m.view, 0
	var states []registry.State
	highest := registry.Index(0)
	for _, name := range view.Members {
		if name == m.name {
			continue
		}
		told, isAnswered := ask(t, name, askSpan, stateRequest{view.Epoch}, (*member).onMemberState)
		if !isAnswered || !told.isOK {
			continue
		}
		m.join(told)
		states = append(states, told.state)
		highest = max(highest, told.state.Index)
		read++
	}
	if read < view.ReadQuorum() || !m.catchUp(t, highest) || m.view.Epoch != view.Epoch {
		return
	}
	if !m.replica.Rebuild(states, m.random.Uint64()) {
		return
	}
	durable := m.replica.DurableState()
	m.keep(t.wake, record{Durable: &durable})
	t.park()
	if m.view.Epoch == view.Epoch {
		m.setTrust(true, nil)
		m.world.checks.rebuilt(m)
	}
}

func (m *member) join(told memberState) {
	for _, entry := range m.voter.Merge(told.entries) {
		m.keepEntry(&entry, nil)
	}
	if m.viewAcceptor.Behind(told.viewAcceptor) {
		m.viewAcceptor = m.viewAcceptor.Merge(told.viewAcceptor)
		acceptor := m.viewAcceptor
		m.keep(nil, record{ViewAcceptor: &acceptor})
	}
}

// replacement asks a member to have one member replaced by another.
type replacement struct{ out, in string }

func (m *member) onReplace(request replacement, _ func(struct{})) {
	m.spawn(func(t *task) {
		view, p := m.view, &m.proposer
		for range 6 {
			if m.view.Epoch != view.Epoch || !view.Contains(request.out) || view.Contains(request.in) {
				return
			}
			propose := func(proposal membership.Proposal) []membership.Response {
				return gather(t, view.Members, voteSpan, proposal, (*member).onProposal, func([]membership.Response) bool { return false })
			}
			p.viewRound++
			number := membership.Ballot{Round: p.viewRound, Node: p.name}
			decided, highest, isDecided := membership.Propose(view, view.Replace(request.out, request.in), number, propose)
			p.viewRound = max(p.viewRound, highest.Round)
			if isDecided {
				m.adopt(decided)
				return
			}
			t.sleep(Time(m.random.Int64N(int64(settlePause))))
		}
	})
}

// intentOf is the record of one attempt for a key.
func intentOf(key, attempt string, wall time.Time) idempotency.Intent {
	return idempotency.Intent{
		Key: idempotency.Key{Tenant: "host", Key: key}, Attempt: idempotency.Attempt(attempt), Route: "route",
		Reservation: attempt, State: idempotency.Reserved, CreatedMs: wall.UnixMilli(),
	}
}
