package exploration

import "ploverhitch/internal/membership"

// question is what a protocol is asked; equal questions have equal answers.
type question struct {
	kind                 string
	acceptor             acceptor
	incarnation          uint8
	number               membership.Ballot
	value, promisedUnder uint8
	promises             [memberCount]promise
}

// response is a protocol's answer.
type response struct {
	after acceptor
	value uint8
	isOK  bool
}

// memo is a protocol that remembers its answers: few questions are asked often.
type memo struct {
	Protocol
	known map[question]response
}

func newMemo(protocol Protocol) *memo {
	return &memo{protocol, map[question]response{}}
}

func (m *memo) answer(q question, ask func() response) response {
	known, isKnown := m.known[q]
	if !isKnown {
		known = ask()
		m.known[q] = known
	}
	return known
}

func (m *memo) prepare(held acceptor, incarnation uint8, number membership.Ballot) (after acceptor, isOK bool) {
	q := question{kind: "prepare", acceptor: held, incarnation: incarnation, number: number}
	r := m.answer(q, func() (r response) {
		r.after, r.isOK = m.Protocol.prepare(held, incarnation, number)
		return r
	})
	return r.after, r.isOK
}

func (m *memo) propose(number membership.Ballot, wanted uint8, promises [memberCount]promise) (value uint8, isAny bool) {
	q := question{kind: "propose", number: number, value: wanted, promises: promises}
	r := m.answer(q, func() (r response) {
		r.value, r.isOK = m.Protocol.propose(number, wanted, promises)
		return r
	})
	return r.value, r.isOK
}

func (m *memo) accept(held acceptor, incarnation uint8, number membership.Ballot, value, promisedUnder uint8) (after acceptor, isOK bool) {
	q := question{kind: "accept", acceptor: held, incarnation: incarnation, number: number, value: value, promisedUnder: promisedUnder}
	r := m.answer(q, func() (r response) {
		r.after, r.isOK = m.Protocol.accept(held, incarnation, number, value, promisedUnder)
		return r
	})
	return r.after, r.isOK
}
