package shedding

import (
	"time"

	"ploverhitch/internal/clock"
)

// column is what is known of one service.
type column struct {
	rows   [steps]map[string][]Load
	cutoff Cutoff
	isOn   bool
	// since is when the cutoff changed last, calmAt since when the service has been
	// calm, calm how long it must be so.
	since, calmAt clock.Instant
	// changed is the step in which it did.
	changed   int64
	calm      time.Duration
	isLowered bool
	// capacity is what the servers carried a second as the cutoff was raised last,
	// at raisedAt.
	capacity float64
	raisedAt clock.Instant
}

// flow is what came in of one tier, and what of it went on to the servers.
type flow struct {
	offered, carried float64
	isKeyed          bool
}

// flows sums what came in since a step, by tier.
func (c *column) flows(from int64) (out []flow) {
	for at := from; at < from+steps; at++ {
		for _, loads := range c.rows[at%steps] {
			for _, load := range loads {
				for len(out) <= int(load.Tier) {
					out = append(out, flow{})
				}
				out[load.Tier].offered += float64(load.Offered)
				out[load.Tier].isKeyed = out[load.Tier].isKeyed || load.IsKeyed
				out[load.Tier].carried += max(0, float64(load.Offered)-float64(load.Shed))
			}
		}
	}
	return out
}

// tally is a service's window in sum.
type tally struct {
	sent, turned, late, offered, shed float64
	// strained nodes are those that met more trouble than a calm service gives.
	nodes, strained int
}

func (c *column) sum(from, step int64) (out tally) {
	type pair struct{ sent, bad float64 }
	nodes := map[string]pair{}
	for at := from; at <= step; at++ {
		for node, loads := range c.rows[at%steps] {
			one := nodes[node]
			for _, load := range loads {
				out.sent += float64(load.Sent)
				out.turned += float64(load.Turned)
				out.late += float64(load.Late)
				out.offered += float64(load.Offered)
				out.shed += float64(load.Shed)
				one.sent += float64(load.Sent)
				one.bad += float64(load.Turned + load.Late)
			}
			nodes[node] = one
		}
	}
	for _, one := range nodes {
		if one.sent > 0 {
			out.nodes++
			if one.bad > calmMost*one.sent {
				out.strained++
			}
		}
	}
	return out
}

// above is the cutoff that turns a share of what is carried away too, from the last
// tier on, and of keyed tiers only where mayCutKeyed says so.
func (c *column) above(share float64, flows []flow, mayCutKeyed bool) Cutoff {
	left := 0.0
	for _, f := range flows {
		left += share * f.carried
	}
	next := c.cutoff
	for tier := min(int(next.Tier), len(flows)-1); tier >= 0; tier-- {
		if flows[tier].isKeyed && !mayCutKeyed {
			return next
		}
		part := 0.0
		if Tier(tier) == c.cutoff.Tier {
			part = c.cutoff.Part
		}
		next.Tier, next.Part = Tier(tier), 1
		if carried := flows[tier].carried; left < carried {
			next.Part = part + (1-part)*left/carried
			return next
		}
		left -= flows[tier].carried
	}
	return next
}

// freshPart is the part of what comes in of a tier, all of which is turned away,
// that is thought to be there for the first time.
const freshPart = 0.5

// below is the cutoff that lets a share more in than is carried, those first that
// were turned away last. isNone tells that it turns nothing away.
func (c *column) below(share float64, flows []flow) (next Cutoff, isNone bool) {
	left := 0.0
	for _, f := range flows {
		left += share * f.carried
	}
	next = c.cutoff
	for tier := max(0, int(next.Tier)); tier < len(flows); tier++ {
		next.Tier, next.Part = Tier(tier), 1
		if Tier(tier) == c.cutoff.Tier {
			next.Part = c.cutoff.Part
		}
		whole := freshPart * flows[tier].offered
		if next.Part < 1 && flows[tier].carried > 0 {
			whole = flows[tier].carried / (1 - next.Part)
		}
		if whole*next.Part > left {
			next.Part -= left / whole
			return next, false
		}
		left -= whole * next.Part
		next.Part = 0
	}
	return next, true
}
