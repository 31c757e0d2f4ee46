package lease_test

import (
	"time"

	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/membership"
)

func (s *simulation) scheduleTick(n *node) {
	s.scheduleAt(n, tickPeriod/2+time.Duration(s.random.Int64N(int64(tickPeriod))), func() {
		s.tick(n)
		s.scheduleTick(n)
	})
}

// tick is a node's heartbeat: it gossips, and renews, releases or claims the lease.
func (s *simulation) tick(n *node) {
	for range 2 {
		s.gossip(n, s.nodes[s.random.IntN(len(s.nodes))].name)
	}
	if !n.view.Contains(n.name) {
		s.stepDown(n)
		n.trusted = false
		return
	}
	if !n.trusted {
		s.rebuild(n)
		return
	}
	leading := n.heldTerm > 0 && n.term == membership.Term{Number: n.heldTerm, Holder: n.name}
	switch {
	case leading && s.random.Float64() < 0.03:
		s.stepDown(n)
	case leading:
		s.renew(n)
	case s.random.Float64() < 0.2:
		s.claim(n)
	}
}

func (s *simulation) gossip(n *node, to string) {
	term, view := n.term, n.view
	s.deliver(n.name, to, func(other *node) {
		if term.Number > other.term.Number {
			other.term = term
		}
		if view.Epoch > other.view.Epoch {
			other.view = view
		}
	})
}

func (s *simulation) renew(n *node) {
	term, view := n.term, n.view
	round := n.holder.Start(term.Number, view, s.clock(n))
	s.requestAll(n, round, func(member *node) bool {
		return member.votesIn(view.Epoch) && member.grantor.Renew(member.term, term, s.clock(member))
	}, func() {})
}

func (s *simulation) claim(n *node) {
	term, view := membership.Term{Number: n.term.Number + 1, Holder: n.name}, n.view
	round := n.holder.Start(term.Number, view, s.clock(n))
	s.requestAll(n, round, func(member *node) bool {
		if !member.votesIn(view.Epoch) || !member.grantor.Claim(member.term, term, s.clock(member)) {
			return false
		}
		member.term = term
		return true
	}, func() {
		if n.heldTerm < term.Number && n.term.Number <= term.Number {
			n.heldTerm = term.Number
			s.wonClaims++
		}
	})
}

// requestAll sends a round to every member, and calls onMajority at each
// acknowledgement of a round that a majority has acknowledged.
func (s *simulation) requestAll(n *node, round lease.Round, request func(member *node) bool, onMajority func()) {
	incarnation := n.incarnation
	for _, name := range n.view.Members {
		s.deliver(n.name, name, func(member *node) {
			if !request(member) {
				return
			}
			s.deliver(name, n.name, func(requester *node) {
				if requester.incarnation == incarnation && requester.holder.Acknowledge(round, name) {
					onMajority()
				}
			})
		})
	}
}

func (s *simulation) stepDown(n *node) {
	if n.heldTerm == 0 {
		return
	}
	term := membership.Term{Number: n.heldTerm, Holder: n.name}
	n.heldTerm = 0
	n.holder.End()
	for _, name := range n.view.Members {
		s.deliver(n.name, name, func(member *node) { member.grantor.Release(member.term, term) })
	}
}

// rebuild reads the terms of the other members, as a member does that is new or has
// lost its disk.
func (s *simulation) rebuild(n *node) {
	view, incarnation := n.view, n.incarnation
	if n.readEpoch != view.Epoch || n.readTerms == nil {
		n.readTerms, n.readEpoch = map[string]membership.Term{}, view.Epoch
	}
	for _, name := range view.Members {
		if name == n.name {
			continue
		}
		s.deliver(n.name, name, func(member *node) {
			if member.view.Epoch < view.Epoch {
				return
			}
			term := member.term
			s.deliver(name, n.name, func(reader *node) { s.recordDump(reader, incarnation, view, name, term) })
		})
	}
}

func (s *simulation) recordDump(n *node, incarnation int, view membership.View, from string, term membership.Term) {
	if n.incarnation != incarnation || n.trusted || n.view.Epoch != view.Epoch {
		return
	}
	n.readTerms[from] = term
	if len(n.readTerms) < view.ReadQuorum() {
		return
	}
	for _, reported := range n.readTerms {
		if reported.Number > n.term.Number {
			n.term = reported
		}
	}
	n.trusted, n.readTerms = true, nil
	if !s.options.skipViewWait {
		n.grantor.DenyClaims(s.clock(n))
	}
}

// injectFault causes a random fault and schedules the next one.
func (s *simulation) injectFault() {
	s.schedule(time.Duration(s.random.Int64N(int64(1500*time.Millisecond))), s.injectFault)
	n := s.nodes[s.random.IntN(len(s.nodes))]
	duration := time.Duration(s.random.Int64N(int64(4 * time.Second)))
	switch s.random.IntN(6) {
	case 0:
		n.pausedUntil = max(n.pausedUntil, s.now+duration)
	case 1:
		s.restart(n, duration/3, false)
	case 2:
		s.restart(n, duration/3, s.untrusted() == 0)
	case 3:
		for _, other := range s.nodes {
			s.linkDownUntil[[2]string{n.name, other.name}] = s.now + duration
			s.linkDownUntil[[2]string{other.name, n.name}] = s.now + duration
		}
	case 4:
		s.linkDownUntil[[2]string{n.name, s.nodes[s.random.IntN(len(s.nodes))].name}] = s.now + duration
	case 5:
		s.changeView()
	}
}

func (s *simulation) restart(n *node, downtime time.Duration, diskLost bool) {
	if !n.running {
		return
	}
	n.incarnation++
	n.running, n.heldTerm, n.pausedUntil, n.readTerms = false, 0, 0, nil
	if diskLost {
		n.term, n.trusted = membership.Term{}, false
	}
	s.schedule(downtime, func() {
		n.running, n.grantor, n.holder = true, s.options.grantor(), s.options.holder()
		n.grantor.DenyClaims(s.clock(n))
		s.scheduleTick(n)
	})
}

// untrusted returns how many members of the newest view have not yet been rebuilt.
func (s *simulation) untrusted() (count int) {
	for _, name := range s.newestView.Members {
		if n := s.node(name); !n.trusted || n.view.Epoch < s.newestView.Epoch && !n.view.Contains(name) {
			count++
		}
	}
	return count
}

// changeView replaces a member with a spare node, if a majority of the newest view
// can decide on that. One member learns the new view at once, the others by gossip.
func (s *simulation) changeView() {
	var voters []*node
	for _, name := range s.newestView.Members {
		if n := s.node(name); n.running && n.pausedUntil <= s.now && n.votesIn(s.newestView.Epoch) {
			voters = append(voters, n)
		}
	}
	if len(voters) < s.newestView.Majority() || s.untrusted() > 0 {
		return
	}
	for _, n := range s.nodes {
		if !s.newestView.Contains(n.name) && !n.trusted && n.running {
			removed := s.newestView.Members[s.random.IntN(len(s.newestView.Members))]
			s.newestView = s.newestView.Replace(removed, n.name)
			voters[s.random.IntN(len(voters))].view = s.newestView
			return
		}
	}
}
