package shedding_test

import (
	"fmt"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/shedding"
)

// verdict is what a node says of an inquiry that bears no key.
func (w *world) verdict(n *node, lane, name string) bool {
	cutoffs := n.cutoffs
	if w.isAlone || w.hand.Now-n.heardAt > 3*time.Second {
		cutoffs = n.floor.Cutoffs()
	}
	for _, cutoff := range cutoffs {
		if cutoff.Sheds(w.order.TierOf(lane), "h", name) {
			return true
		}
	}
	return false
}

// sheds is what one member says of a new key.
func (w *world) sheds(m *member, key string) bool {
	if w.hand.Now-m.heardAt > 1200*time.Millisecond {
		return false
	}
	for _, cutoff := range m.cutoffs {
		if cutoff.Sheds(w.order.TierOf("release"), "h", key) {
			return true
		}
	}
	return false
}

func (w *world) ask(c *client) {
	c.tries++
	c.at = w.hand.Now
	n := w.nodes[w.random.IntN(len(w.nodes))]
	tier := w.order.TierOf(c.lane)
	isShed := false
	if c.lane == "release" {
		n.counter.Offer("s", tier, true, false)
		if isShed = !w.secure(c); isShed {
			n.counter.Shed("s", tier)
		}
	} else {
		isShed = w.verdict(n, c.lane, c.key)
		n.counter.Offer("s", tier, false, isShed)
	}
	if isShed {
		w.refuse(c)
		return
	}
	a, z := w.servers[w.random.IntN(len(w.servers))], w.servers[w.random.IntN(len(w.servers))]
	if len(z.work) < len(a.work) {
		a = z
	}
	if a.isIll || len(a.work) >= slots+queue {
		n.counter.Try("s", tier, a.id, shedding.Turned)
		w.giveBack(c)
		w.refuse(c)
		return
	}
	a.work = append(a.work, job{c: c, node: n})
}

// secure asks the members for their votes, as a proxy does.
func (w *world) secure(c *client) bool {
	c.intent = idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: c.key}, Attempt: idempotency.Attempt(fmt.Sprint(c.key, "-", c.tries)), Route: c.lane, Reservation: fmt.Sprint(c.key, "-", c.tries)}
	round := idempotency.NewRound(c.intent.RequestHash, len(w.members), w.hand.Monotonic(), clock.Instant(time.Second))
	c.winners = nil
	for _, m := range w.members {
		ballot := idempotency.Vote{Verdict: idempotency.Shed}
		if m.voter.Find(c.intent.Key) != nil || !w.sheds(m, c.key) {
			ballot, _ = m.voter.Reserve(c.intent)
		}
		if ballot.Verdict == idempotency.Granted {
			c.winners = append(c.winners, m)
		}
		round.AddVote(&ballot)
	}
	if round.Result(w.hand.Monotonic()) == idempotency.Won {
		return true
	}
	w.giveBack(c)
	return false
}

func (w *world) giveBack(c *client) {
	released := c.intent
	released.State = idempotency.Released
	for _, m := range c.winners {
		_, _ = m.voter.Record(released)
	}
	c.winners = nil
}

func (w *world) refuse(c *client) {
	if c.tries < 4 {
		c.at = w.hand.Now + 10*tick + time.Duration(w.random.IntN(10))*tick
		w.waiting = append(w.waiting, c)
		return
	}
	w.counts[c.lane].refused++
}

// serve works on the first few of a server's queue.
func (w *world) serve(s *server) {
	var left []job
	for i, j := range s.work {
		if i < slots {
			j.ends++
		}
		if j.ends < workFor {
			left = append(left, j)
			continue
		}
		outcome := shedding.InTime
		w.counts[j.c.lane].served++
		if w.hand.Now-j.c.born > aim {
			w.counts[j.c.lane].late++
		}
		if w.hand.Now-j.c.at > aim {
			outcome = shedding.Late
		}
		j.node.counter.Try("s", w.order.TierOf(j.c.lane), s.id, outcome)
		if j.c.lane == "release" {
			w.ran[j.c.key]++
			w.kept[j.c.key] = true
			done := j.c.intent
			done.State, done.Response = idempotency.Completed, &idempotency.Response{Status: 200}
			for _, m := range w.members {
				_, _ = m.voter.Record(done)
			}
		}
	}
	s.work = left
}
