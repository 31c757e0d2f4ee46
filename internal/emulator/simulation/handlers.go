package simulation

import (
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
)

// isServing tells whether the member takes part in rounds of the epoch.
func (m *member) isServing(epoch membership.Epoch) bool {
	return m.isTrusted && (epoch == m.view.Epoch || !m.world.has(EpochCheck))
}

// newerView is the member's view where it is newer than the asker's.
func (m *member) newerView(epoch membership.Epoch) *membership.View {
	if m.view.Epoch <= epoch || !m.world.has(EpochCheck) {
		return nil
	}
	view := m.view
	return &view
}

func (m *member) onPrepare(prepare registry.Prepare, answer func(registry.Promise)) {
	if !m.isServing(prepare.Epoch) {
		refusal := registry.Promise{Member: m.name, Index: m.replica.Index, View: m.newerView(prepare.Epoch)}
		m.keep(func() { answer(refusal) })
		return
	}
	promise, isChanged := m.replica.Promise(prepare)
	promise.Member = m.name
	m.answerKept(isChanged, func() { answer(promise) })
}

func (m *member) onAccept(accept registry.Accept, answer func(registry.Acceptance)) {
	if !m.isServing(accept.Epoch) {
		refusal := registry.Acceptance{Index: m.replica.Index}
		m.keep(func() { answer(refusal) })
		return
	}
	acceptance, isChanged := m.replica.Accept(m.name, accept)
	m.answerKept(isChanged, func() { answer(acceptance) })
}

// answerKept sends an answer once the acceptor is on disk.
func (m *member) answerKept(isChanged bool, answer func()) {
	if !m.world.has(SyncBeforePromise) {
		answer()
		answer = nil
	}
	if !isChanged {
		m.keep(answer)
		return
	}
	durable := m.replica.DurableState()
	m.keep(answer, record{Durable: &durable})
}

func (m *member) onLearn(change registry.Change, _ func(struct{})) { m.learn(change) }

// stateRequest asks for a member's place within an epoch.
type stateRequest struct{ epoch membership.Epoch }

// state is the member's place.
func (m *member) state() registry.State {
	return registry.State{OK: true, Index: m.replica.Index, Acceptor: m.replica.Acceptor}
}

func (m *member) onState(request stateRequest, answer func(registry.State)) {
	state := registry.State{View: m.newerView(request.epoch)}
	if m.isServing(request.epoch) {
		state = m.state()
	}
	m.keep(func() { answer(state) })
}

// changesRequest asks for the changes that follow an index.
type changesRequest struct{ from registry.Index }

// changesAnswer is a part of them; without isCheaper the asker takes pages.
type changesAnswer struct {
	changes   []registry.Change
	isCheaper bool
	index     registry.Index
}

// pageBytes is small, so that a set takes several pages.
const pageBytes = 300

func (m *member) onChanges(request changesRequest, answer func(changesAnswer)) {
	changes, isKept, isCheaper := m.replica.Since(request.from, 4*pageBytes)
	answer(changesAnswer{changes, isKept && isCheaper, m.replica.Index})
}

// pageRequest asks for the page that follows a page.
type pageRequest struct{ after *registry.Page }

func (m *member) onPage(request pageRequest, answer func(registry.Page)) {
	if request.after == nil {
		answer(m.replica.PageAfter(nil, pageBytes))
		return
	}
	answer(m.replica.PageAfter(request.after.After(), pageBytes))
}

func (m *member) onView(_ struct{}, answer func(membership.View)) { answer(m.view) }

func (m *member) onProposal(proposal membership.Proposal, answer func(membership.Response)) {
	if !m.isTrusted {
		return
	}
	response, isChanged := m.viewAcceptor.Respond(m.view, proposal)
	if !isChanged {
		m.keep(func() { answer(response) })
		return
	}
	acceptor := m.viewAcceptor
	m.keep(func() { answer(response) }, record{ViewAcceptor: &acceptor})
}

// memberState is all that a member tells one that is being rebuilt.
type memberState struct {
	isOK         bool
	state        registry.State
	viewAcceptor membership.Acceptor
	entries      []idempotency.Entry
}

func (m *member) onMemberState(request stateRequest, answer func(memberState)) {
	isOK := m.isTrusted || !m.world.has(TrustedReadSet)
	isOK = isOK && request.epoch == m.view.Epoch
	told := memberState{isOK, m.state(), m.viewAcceptor, m.voter.Entries()}
	m.keep(func() { answer(told) })
}

// reserveRequest asks for a vote.
type reserveRequest struct {
	epoch  membership.Epoch
	intent idempotency.Intent
}

func (m *member) onReserve(request reserveRequest, answer func(idempotency.Vote)) {
	if !m.isServing(request.epoch) {
		answer(idempotency.Vote{Verdict: idempotency.Refused})
		return
	}
	vote, entry := m.voter.Reserve(request.intent)
	m.keepEntry(entry, func() { answer(vote) })
}

func (m *member) onRecord(intent idempotency.Intent, answer func(bool)) {
	entry, err := m.voter.Record(intent)
	m.keepEntry(entry, func() { answer(err == nil) })
}

func (m *member) keepEntry(entry *idempotency.Entry, done func()) {
	if entry == nil {
		m.keep(done)
		return
	}
	m.keep(done, record{Entry: entry})
}
