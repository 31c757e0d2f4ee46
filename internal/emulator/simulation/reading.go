package simulation

import (
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

const askSpan = voteSpan

// reading is the answer to an operator that reads the configuration.
type reading struct {
	isOK bool
	book config.ItemSet
}

func (m *member) onRead(_ struct{}, answer func(reading)) {
	m.spawn(func(t *task) {
		for range 4 {
			if m.isCurrent(t) {
				answer(reading{true, m.replica.Items.Clone()})
				return
			}
			t.sleep(Time(m.random.Int64N(int64(proposePause))))
		}
		answer(reading{})
	})
}

// isCurrent brings the member's set to whatever a majority had decided when it
// was called.
func (m *member) isCurrent(t *task) bool {
	view := m.view
	isEnough := func(states []registry.State) bool { return countStates(states) >= view.Majority() }
	states := gather(t, view.Members, askSpan, stateRequest{view.Epoch}, (*member).onState, isEnough)
	m.hearViews(states)
	if !isEnough(states) {
		return false
	}
	highest := registry.Index(0)
	for _, state := range states {
		if state.OK {
			highest = max(highest, state.Index)
		}
	}
	isOpen := false
	for _, state := range states {
		isOpen = isOpen || state.OK && state.Index == highest && state.Acceptor.Change != nil
	}
	if !m.catchUp(t, highest) {
		return false
	}
	return !isOpen || m.replica.Index > highest || m.complete(t, highest+1)
}

func countStates(states []registry.State) (count int) {
	for _, state := range states {
		if state.OK {
			count++
		}
	}
	return count
}

func (m *member) hearViews(states []registry.State) {
	for _, state := range states {
		if state.View != nil {
			m.adopt(*state.View)
		}
	}
}

// complete finishes the round of a change that some members have accepted.
func (m *member) complete(t *task, index registry.Index) bool {
	p := &m.proposer
	p.round++
	ballot := membership.Ballot{Round: p.round, Node: p.name}
	round := registry.Round{Epoch: m.view.Epoch, Index: index, Ballot: ballot, Majority: m.view.Majority()}
	round.Draft = func([]config.Item) (registry.Change, bool) { return registry.Change{}, false }
	outcome := round.Run(&peers{task: t, member: m, view: m.view})
	p.round = max(p.round, outcome.HighestBallot.Round)
	p.hear(t, index, outcome)
	return outcome.NothingToPropose || m.replica.Index >= index
}

// learn takes a decided change, if it is the next.
func (m *member) learn(change registry.Change) {
	if m.replica.Learn(change) {
		m.keep(nil, record{Change: &change})
		m.world.checks.learned(m)
	}
}

// catchUp brings the member's set to an index at least, from any member.
func (m *member) catchUp(t *task, target registry.Index) bool {
	for _, at := range m.random.Perm(len(m.world.names)) {
		if m.replica.Index >= target {
			return true
		}
		if name := m.world.names[at]; name != m.name {
			m.pull(t, name)
		}
	}
	return m.replica.Index >= target
}

// pull takes what one member has beyond the own set.
func (m *member) pull(t *task, name string) {
	for {
		answer, isAnswered := ask(t, name, askSpan, changesRequest{m.replica.Index}, (*member).onChanges)
		if !isAnswered || answer.index <= m.replica.Index {
			return
		}
		if !answer.isCheaper {
			m.pullPages(t, name)
			return
		}
		for _, change := range answer.changes {
			m.learn(change)
		}
	}
}

// pullPages takes the whole set page by page, and the changes since.
func (m *member) pullPages(t *task, name string) {
	var assembly registry.Assembly
	var first registry.Index
	request := pageRequest{}
	for {
		page, isAnswered := ask(t, name, askSpan, request, (*member).onPage)
		if !isAnswered {
			return
		}
		if page.First {
			first = page.Index
		}
		assembly.Add(page)
		if page.Last {
			break
		}
		request.after = &page
	}
	answer, isAnswered := ask(t, name, askSpan, changesRequest{first}, (*member).onChanges)
	if !isAnswered {
		return
	}
	set, isWhole := assembly.Finish(answer.changes)
	if !isWhole || !m.replica.Install(set) {
		return
	}
	var pages []registry.Page
	for page := range set.Pages(pageBytes) {
		pages = append(pages, page)
	}
	m.keep(nil, record{Pages: pages})
	m.world.checks.learned(m)
}
