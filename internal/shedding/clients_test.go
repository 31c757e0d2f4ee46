package shedding_test

import (
	"fmt"
	"time"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/timetable"
)

// verdict is what a node says of an inquiry that bears no key.
func (w *cluster) rejects(n *node, route, name string) bool {
	cutoffs := n.cutoffs
	if w.localOnly || w.clock.Now-n.updatedAt > 3*time.Second {
		cutoffs = n.localGauge.Cutoffs()
	}
	for _, cutoff := range cutoffs {
		if cutoff.Sheds(w.order.TierOf(route), "h", name) {
			return true
		}
	}
	return false
}

// sheds is what one member says of a new key.
func (w *cluster) sheds(m *member, key string) bool {
	if w.clock.Now-m.updatedAt > 1200*time.Millisecond {
		return false
	}
	for _, cutoff := range m.cutoffs {
		if cutoff.Sheds(w.order.TierOf("release"), "h", key) {
			return true
		}
	}
	return false
}

func (w *cluster) send(c *client) {
	c.attempts++
	c.sentAt = w.clock.Now
	n := w.nodes[w.random.IntN(len(w.nodes))]
	tier := w.order.TierOf(c.route)
	shed := false
	if c.route == "release" {
		n.counter.CountRequest("s", tier, true, false)
		if shed = !w.reserve(c); shed {
			n.counter.CountShed("s", tier)
		}
	} else {
		shed = w.rejects(n, c.route, c.key)
		n.counter.CountRequest("s", tier, false, shed)
	}
	if shed {
		w.reject(c)
		return
	}
	a, b := w.servers[w.random.IntN(len(w.servers))], w.servers[w.random.IntN(len(w.servers))]
	if len(b.jobs) < len(a.jobs) {
		a = b
	}
	if a.failing || len(a.jobs) >= slots+queue {
		n.counter.CountAttempt("s", tier, a.id, shedding.Rejected)
		w.release(c)
		w.reject(c)
		return
	}
	a.jobs = append(a.jobs, job{client: c, node: n})
}

// secure asks the members for their votes, as a proxy does.
func (w *cluster) reserve(c *client) bool {
	c.intent = idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: c.key}, Attempt: idempotency.Attempt(fmt.Sprint(c.key, "-", c.attempts)), Route: c.route, Reservation: fmt.Sprint(c.key, "-", c.attempts)}
	round := idempotency.NewRound(c.intent.RequestHash, len(w.members), w.clock.Steady(), timetable.Steady(time.Second))
	c.voters = nil
	for _, m := range w.members {
		vote := idempotency.Vote{Verdict: idempotency.Shed}
		if m.voter.Find(c.intent.Key) != nil || !w.sheds(m, c.key) {
			vote, _ = m.voter.Reserve(c.intent)
		}
		if vote.Verdict == idempotency.Granted {
			c.voters = append(c.voters, m)
		}
		round.AddVote(&vote)
	}
	if round.Result(w.clock.Steady()) == idempotency.Won {
		return true
	}
	w.release(c)
	return false
}

func (w *cluster) release(c *client) {
	released := c.intent
	released.State = idempotency.Released
	for _, m := range c.voters {
		_, _ = m.voter.Record(released)
	}
	c.voters = nil
}

func (w *cluster) reject(c *client) {
	if c.attempts < 4 {
		c.sentAt = w.clock.Now + 10*tick + time.Duration(w.random.IntN(10))*tick
		w.waiting = append(w.waiting, c)
		return
	}
	w.counts[c.route].rejected++
}

// serve works on the first few of a server's queue.
func (w *cluster) serve(s *server) {
	var remaining []job
	for i, j := range s.jobs {
		if i < slots {
			j.ticks++
		}
		if j.ticks < workTicks {
			remaining = append(remaining, j)
			continue
		}
		outcome := shedding.InTime
		w.counts[j.client.route].served++
		if w.clock.Now-j.client.createdAt > targetLatency {
			w.counts[j.client.route].late++
		}
		if w.clock.Now-j.client.sentAt > targetLatency {
			outcome = shedding.Late
		}
		j.node.counter.CountAttempt("s", w.order.TierOf(j.client.route), s.id, outcome)
		if j.client.route == "release" {
			w.executions[j.client.key]++
			w.completed[j.client.key] = true
			done := j.client.intent
			done.State, done.Response = idempotency.Completed, &idempotency.Response{Status: 200}
			for _, m := range w.members {
				_, _ = m.voter.Record(done)
			}
		}
	}
	s.jobs = remaining
}
