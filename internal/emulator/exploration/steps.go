package exploration

// next are the states that one step leads to.
func (m Model) next(s state) (out []state) {
	for at := range s.Proposals {
		out = m.begin(out, s, at)
		for to := range s.Members {
			out = m.deliverPrepare(out, s, at, to)
			out = m.deliverAccept(out, s, at, to)
		}
		out = m.form(out, s, at)
	}
	for at := range s.Members {
		out = m.lose(out, s, at)
		for from := range s.Members {
			out = m.read(out, s, at, from)
		}
	}
	return out
}

// begin starts a round; the last one is begun by a proposer that has crashed and
// restarted, so that its first round counts no more answers.
func (m Model) begin(out []state, s state, at int) []state {
	if s.Proposals[at].Phase != idle {
		return out
	}
	if at == proposalCount-1 {
		if s.Proposals[0].Phase == idle || !m.HasCrash {
			return out
		}
		s.Proposals[0].IsClosed = true
	}
	s.Proposals[at].Phase = preparing
	return append(out, s)
}

// deliverPrepare brings a prepare to a member and its answer back.
func (m Model) deliverPrepare(out []state, s state, at, to int) []state {
	p, member := &s.Proposals[at], &s.Members[to]
	if p.Phase == idle || !member.IsTrusted {
		return out
	}
	after, isOK := m.Protocol.prepare(member.Acceptor, member.Incarnation, m.number(at))
	if !isOK {
		return out
	}
	member.Acceptor = after
	if p.Phase == preparing && !p.IsClosed && !p.Promises[to].IsThere {
		p.Promises[to] = promise{true, member.Incarnation, after}
	}
	return append(out, s)
}

// form has a proposer go on with any majority of the promises that it holds.
func (m Model) form(out []state, s state, at int) []state {
	p := s.Proposals[at]
	if p.Phase != preparing || p.IsClosed {
		return out
	}
	for subset := range 1 << memberCount {
		var promises [memberCount]promise
		var incarnations [memberCount]uint8
		for from, promise := range p.Promises {
			if subset&(1<<from) != 0 && promise.IsThere {
				if m.IsUnadopted {
					promise.Acceptor.Accepted, promise.Acceptor.Value = 0, 0
				}
				promises[from] = promise
				incarnations[from] = promise.Incarnation
			}
		}
		value, isAny := m.Protocol.propose(m.number(at), wanted(at), promises)
		if !isAny {
			continue
		}
		next := s
		next.Proposals[at] = proposal{Phase: accepting, Value: value, Incarnations: incarnations}
		out = append(out, next)
	}
	return out
}

// deliverAccept brings an accept to a member and its answer back.
func (m Model) deliverAccept(out []state, s state, at, to int) []state {
	p, member := &s.Proposals[at], &s.Members[to]
	if p.Phase != accepting || !member.IsTrusted {
		return out
	}
	promisedUnder := p.Incarnations[to]
	if m.IsLifeIgnored {
		promisedUnder = 0
	}
	after, isOK := m.Protocol.accept(member.Acceptor, member.Incarnation, m.number(at), p.Value, promisedUnder)
	if !isOK {
		return out
	}
	member.Acceptor = after
	if !p.IsClosed && p.Decided == 0 {
		p.Accepted[to] = true
	}
	count := 0
	for _, isAccepted := range p.Accepted {
		if isAccepted {
			count++
		}
	}
	if count >= majority {
		p.Decided = p.Value
	}
	return append(out, s)
}

// lose takes one member's disk; at most one is lost.
func (m Model) lose(out []state, s state, at int) []state {
	if s.IsLost || !m.HasLoss {
		return out
	}
	s.IsLost = true
	s.Members[at] = member{Incarnation: s.Members[at].Incarnation + 1}
	for each := range s.Proposals {
		s.Proposals[each].IsOld = s.Proposals[each].Phase != idle
	}
	return append(out, s)
}

// read has a member that is being rebuilt read another. It begins two vote spans
// after its loss: no phase that began before that counts answers any more. With
// the last one that it needs it takes part again.
func (m Model) read(out []state, s state, at, from int) []state {
	reader, source := &s.Members[at], s.Members[from]
	if reader.IsTrusted || !source.IsTrusted || reader.HasRead[from] {
		return out
	}
	reader.HasRead[from], reader.Read[from] = true, source.Acceptor
	var read []acceptor
	for each, hasRead := range reader.HasRead {
		if hasRead {
			read = append(read, reader.Read[each])
		}
	}
	needed := readSet
	if m.IsReadShort {
		needed--
	}
	if len(read) >= needed {
		*reader = member{Acceptor: m.Protocol.rebuild(read), Incarnation: reader.Incarnation, IsTrusted: true}
	}
	for each := range s.Proposals {
		s.Proposals[each].IsClosed = s.Proposals[each].IsClosed || s.Proposals[each].IsOld && !m.IsWaitless
	}
	return append(out, s)
}
