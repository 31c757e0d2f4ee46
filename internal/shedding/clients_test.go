package shedding_test

import (
	"fmt"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/shedding"
)

// rejects reports whether a node rejects a request without an idempotency key.
func (sim *simulation) rejects(n *node, route, name string) bool {
	cutoffs := n.cutoffs
	if sim.localOnly || sim.clock.Now-n.updatedAt > 3*time.Second {
		cutoffs = n.localController.Cutoffs()
	}
	for _, cutoff := range cutoffs {
		if cutoff.Sheds(sim.order.TierOf(route), "h", name) {
			return true
		}
	}
	return false
}

// sheds reports whether a member rejects a new key.
func (sim *simulation) sheds(m *member, key string) bool {
	if sim.clock.Now-m.updatedAt > 1200*time.Millisecond {
		return false
	}
	for _, cutoff := range m.cutoffs {
		if cutoff.Sheds(sim.order.TierOf("release"), "h", key) {
			return true
		}
	}
	return false
}

func (sim *simulation) send(c *client) {
	c.attempts++
	c.attemptAt = sim.clock.Now
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	tier := sim.order.TierOf(c.route)
	shed := false
	if c.route == "release" {
		n.counter.CountRequest("s", tier, true, false)
		if shed = !sim.reserve(c); shed {
			n.counter.CountShed("s", tier)
		}
	} else {
		shed = sim.rejects(n, c.route, c.key)
		n.counter.CountRequest("s", tier, false, shed)
	}
	if shed {
		sim.reject(c)
		return
	}
	a, b := sim.servers[sim.random.IntN(len(sim.servers))], sim.servers[sim.random.IntN(len(sim.servers))]
	if len(b.jobs) < len(a.jobs) {
		a = b
	}
	if a.failing || len(a.jobs) >= slots+queue {
		n.counter.CountAttempt("s", tier, a.id, shedding.Rejected)
		sim.release(c)
		sim.reject(c)
		return
	}
	a.jobs = append(a.jobs, job{client: c, node: n})
}

// reserve collects the votes of the members as a proxy does, and reports whether the
// reservation has a majority.
func (sim *simulation) reserve(c *client) bool {
	c.intent = idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: c.key}, Attempt: idempotency.Attempt(fmt.Sprint(c.key, "-", c.attempts)), Route: c.route, Reservation: fmt.Sprint(c.key, "-", c.attempts)}
	round := idempotency.NewRound(c.intent.RequestHash, len(sim.members), sim.clock.Monotonic(), clock.Instant(time.Second))
	c.voters = nil
	for _, m := range sim.members {
		vote := idempotency.Vote{Verdict: idempotency.Shed}
		if m.voter.Find(c.intent.Key) != nil || !sim.sheds(m, c.key) {
			vote, _ = m.voter.Reserve(c.intent)
		}
		if vote.Verdict == idempotency.Granted {
			c.voters = append(c.voters, m)
		}
		round.AddVote(&vote)
	}
	if round.Result(sim.clock.Monotonic()) == idempotency.Won {
		return true
	}
	sim.release(c)
	return false
}

func (sim *simulation) release(c *client) {
	released := c.intent
	released.State = idempotency.Released
	for _, m := range c.voters {
		_, _ = m.voter.Record(released)
	}
	c.voters = nil
}

func (sim *simulation) reject(c *client) {
	if c.attempts < 4 {
		c.attemptAt = sim.clock.Now + 10*tick + time.Duration(sim.random.IntN(10))*tick
		sim.waiting = append(sim.waiting, c)
		return
	}
	sim.counts[c.route].rejected++
}

// serve runs one tick of the jobs that occupy the server's slots.
func (sim *simulation) serve(s *server) {
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
		sim.counts[j.client.route].served++
		if sim.clock.Now-j.client.createdAt > targetLatency {
			sim.counts[j.client.route].late++
		}
		if sim.clock.Now-j.client.attemptAt > targetLatency {
			outcome = shedding.Late
		}
		j.node.counter.CountAttempt("s", sim.order.TierOf(j.client.route), s.id, outcome)
		if j.client.route == "release" {
			sim.executions[j.client.key]++
			sim.completed[j.client.key] = true
			done := j.client.intent
			done.State, done.Response = idempotency.Completed, &idempotency.Response{Status: 200}
			for _, m := range sim.members {
				_, _ = m.voter.Record(done)
			}
		}
	}
	s.jobs = remaining
}
