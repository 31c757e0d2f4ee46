package lease_test

import (
	"time"

	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/membership"
)

func (w *world) tickLater(n *node) {
	w.at(n, tickPeriod/2+time.Duration(w.random.Int64N(int64(tickPeriod))), func() {
		w.tick(n)
		w.tickLater(n)
	})
}

// tick is a node's heartbeat: it gossips, and renews, gives up or claims the duty.
func (w *world) tick(n *node) {
	for range 2 {
		w.gossip(n, w.nodes[w.random.IntN(len(w.nodes))].name)
	}
	if !n.view.Contains(n.name) {
		w.stepDown(n)
		n.isTrusted = false
		return
	}
	if !n.isTrusted {
		w.rebuild(n)
		return
	}
	isMine := n.heldTerm > 0 && n.term == membership.Term{Number: n.heldTerm, Holder: n.name}
	switch {
	case isMine && w.random.Float64() < 0.03:
		w.stepDown(n)
	case isMine:
		w.renew(n)
	case w.random.Float64() < 0.2:
		w.claim(n)
	}
}

func (w *world) gossip(n *node, to string) {
	term, view := n.term, n.view
	w.deliver(n.name, to, func(other *node) {
		if term.Number > other.term.Number {
			other.term = term
		}
		if view.Epoch > other.view.Epoch {
			other.view = view
		}
	})
}

func (w *world) renew(n *node) {
	term, view := n.term, n.view
	round := n.holder.Start(term.Number, view, w.clock(n))
	w.askAll(n, round, func(member *node) bool {
		return member.votesIn(view.Epoch) && member.grantor.Renew(member.term, term, w.clock(member))
	}, func() {})
}

func (w *world) claim(n *node) {
	term, view := membership.Term{Number: n.term.Number + 1, Holder: n.name}, n.view
	round := n.holder.Start(term.Number, view, w.clock(n))
	w.askAll(n, round, func(member *node) bool {
		if !member.votesIn(view.Epoch) || !member.grantor.Claim(member.term, term, w.clock(member)) {
			return false
		}
		member.term = term
		return true
	}, func() {
		if n.heldTerm < term.Number && n.term.Number <= term.Number {
			n.heldTerm = term.Number
			w.wins++
		}
	})
}

// askAll brings a round to every member, and calls won at each acknowledgement of
// a round that a majority has acknowledged.
func (w *world) askAll(n *node, round lease.Round, act func(member *node) bool, won func()) {
	life := n.life
	for _, name := range n.view.Members {
		w.deliver(n.name, name, func(member *node) {
			if !act(member) {
				return
			}
			w.deliver(name, n.name, func(asker *node) {
				if asker.life == life && asker.holder.Acknowledge(round, name) {
					won()
				}
			})
		})
	}
}

func (w *world) stepDown(n *node) {
	if n.heldTerm == 0 {
		return
	}
	term := membership.Term{Number: n.heldTerm, Holder: n.name}
	n.heldTerm = 0
	n.holder.End()
	for _, name := range n.view.Members {
		w.deliver(n.name, name, func(member *node) { member.grantor.Release(member.term, term) })
	}
}

// rebuild reads what the others hold, as a member does that is new or lost its disk.
func (w *world) rebuild(n *node) {
	view, life := n.view, n.life
	if n.readFor != view.Epoch || n.read == nil {
		n.read, n.readFor = map[string]membership.Term{}, view.Epoch
	}
	for _, name := range view.Members {
		if name == n.name {
			continue
		}
		w.deliver(n.name, name, func(member *node) {
			if member.view.Epoch < view.Epoch {
				return
			}
			term := member.term
			w.deliver(name, n.name, func(reader *node) { w.hearDump(reader, life, view, name, term) })
		})
	}
}

func (w *world) hearDump(n *node, life int, view membership.View, from string, term membership.Term) {
	if n.life != life || n.isTrusted || n.view.Epoch != view.Epoch {
		return
	}
	n.read[from] = term
	if len(n.read) < view.ReadQuorum() {
		return
	}
	for _, told := range n.read {
		if told.Number > n.term.Number {
			n.term = told
		}
	}
	n.isTrusted, n.read = true, nil
	if !w.build.isTrustedAtOnce {
		n.grantor.Wait(w.clock(n))
	}
}

// trouble strikes now and again.
func (w *world) trouble() {
	w.after(time.Duration(w.random.Int64N(int64(1500*time.Millisecond))), w.trouble)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	span := time.Duration(w.random.Int64N(int64(4 * time.Second)))
	switch w.random.IntN(6) {
	case 0:
		n.frozenUntil = max(n.frozenUntil, w.now+span)
	case 1:
		w.restart(n, span/3, false)
	case 2:
		w.restart(n, span/3, w.untrusted() == 0)
	case 3:
		for _, other := range w.nodes {
			w.cut[[2]string{n.name, other.name}] = w.now + span
			w.cut[[2]string{other.name, n.name}] = w.now + span
		}
	case 4:
		w.cut[[2]string{n.name, w.nodes[w.random.IntN(len(w.nodes))].name}] = w.now + span
	case 5:
		w.changeView()
	}
}

func (w *world) restart(n *node, dark time.Duration, isDiskLost bool) {
	if !n.isUp {
		return
	}
	n.life++
	n.isUp, n.heldTerm, n.frozenUntil, n.read = false, 0, 0, nil
	if isDiskLost {
		n.term, n.isTrusted = membership.Term{}, false
	}
	w.after(dark, func() {
		n.isUp, n.grantor, n.holder = true, w.build.grantor(), w.build.holder()
		n.grantor.Wait(w.clock(n))
		w.tickLater(n)
	})
}

// untrusted is how many members of the newest view have yet to rebuild.
func (w *world) untrusted() (count int) {
	for _, name := range w.newest.Members {
		if n := w.node(name); !n.isTrusted || n.view.Epoch < w.newest.Epoch && !n.view.Contains(name) {
			count++
		}
	}
	return count
}

// changeView gives a member up for a node that waits, if a majority of the newest
// view can decide on that. One member hears of it at once, the others by gossip.
func (w *world) changeView() {
	var deciding []*node
	for _, name := range w.newest.Members {
		if n := w.node(name); n.isUp && n.frozenUntil <= w.now && n.votesIn(w.newest.Epoch) {
			deciding = append(deciding, n)
		}
	}
	if len(deciding) < w.newest.Majority() || w.untrusted() > 0 {
		return
	}
	for _, n := range w.nodes {
		if !w.newest.Contains(n.name) && !n.isTrusted && n.isUp {
			out := w.newest.Members[w.random.IntN(len(w.newest.Members))]
			w.newest = w.newest.Replace(out, n.name)
			deciding[w.random.IntN(len(deciding))].view = w.newest
			return
		}
	}
}
