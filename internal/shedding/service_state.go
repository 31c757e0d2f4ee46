package shedding

import (
	"time"

	"ploverhitch/internal/timetable"
)

// column is what is known of one service.
type serviceState struct {
	loads  [steps]map[string][]Load
	cutoff Cutoff
	active bool
	// since is when the cutoff changed last, calmAt since when the service has been
	// calm, calm how long it must be so.
	changedAt, calmSince timetable.Steady
	// changed is the step in which it did.
	changedStep  int64
	requiredCalm time.Duration
	lastLowered  bool
	// capacity is what the servers carried a second as the cutoff was raised last,
	// at raisedAt.
	capacity float64
	raisedAt timetable.Steady
}

// flow is what came in of one tier, and what of it went on to the servers.
type tierFlow struct {
	offered, admitted float64
	keyed             bool
}

// flows sums what came in since a step, by tier.
func (c *serviceState) tierFlows(from int64) (out []tierFlow) {
	for step := from; step < from+steps; step++ {
		for _, loads := range c.loads[step%steps] {
			for _, load := range loads {
				for len(out) <= int(load.Tier) {
					out = append(out, tierFlow{})
				}
				out[load.Tier].offered += float64(load.Offered)
				out[load.Tier].keyed = out[load.Tier].keyed || load.Keyed
				out[load.Tier].admitted += max(0, float64(load.Offered)-float64(load.Shed))
			}
		}
	}
	return out
}

// tally is a service's window in sum.
type windowTotals struct {
	sent, rejected, late, offered, shed float64
	// strained nodes are those that met more trouble than a calm service gives.
	nodes, overloadedNodes int
}

func (c *serviceState) totals(from, last int64) (out windowTotals) {
	type nodeCounts struct{ sent, overloaded float64 }
	nodes := map[string]nodeCounts{}
	for step := from; step <= last; step++ {
		for node, loads := range c.loads[step%steps] {
			counts := nodes[node]
			for _, load := range loads {
				out.sent += float64(load.Sent)
				out.rejected += float64(load.Rejected)
				out.late += float64(load.Late)
				out.offered += float64(load.Offered)
				out.shed += float64(load.Shed)
				counts.sent += float64(load.Sent)
				counts.overloaded += float64(load.Rejected + load.Late)
			}
			nodes[node] = counts
		}
	}
	for _, counts := range nodes {
		if counts.sent > 0 {
			out.nodes++
			if counts.overloaded > calmThreshold*counts.sent {
				out.overloadedNodes++
			}
		}
	}
	return out
}

// above is the cutoff that turns a share of what is carried away too, from the last
// tier on, and of keyed tiers only where mayCutKeyed says so.
func (c *serviceState) raisedCutoff(share float64, flows []tierFlow, shedKeyed bool) Cutoff {
	remaining := 0.0
	for _, f := range flows {
		remaining += share * f.admitted
	}
	next := c.cutoff
	for tier := min(int(next.Tier), len(flows)-1); tier >= 0; tier-- {
		if flows[tier].keyed && !shedKeyed {
			return next
		}
		fraction := 0.0
		if Tier(tier) == c.cutoff.Tier {
			fraction = c.cutoff.Fraction
		}
		next.Tier, next.Fraction = Tier(tier), 1
		if admitted := flows[tier].admitted; remaining < admitted {
			next.Fraction = fraction + (1-fraction)*remaining/admitted
			return next
		}
		remaining -= flows[tier].admitted
	}
	return next
}

// freshPart is the part of what comes in of a tier, all of which is turned away,
// that is thought to be there for the first time.
const newRequestShare = 0.5

// below is the cutoff that lets a share more in than is carried, those first that
// were turned away last. isNone tells that it turns nothing away.
func (c *serviceState) loweredCutoff(share float64, flows []tierFlow) (next Cutoff, none bool) {
	remaining := 0.0
	for _, f := range flows {
		remaining += share * f.admitted
	}
	next = c.cutoff
	for tier := max(0, int(next.Tier)); tier < len(flows); tier++ {
		next.Tier, next.Fraction = Tier(tier), 1
		if Tier(tier) == c.cutoff.Tier {
			next.Fraction = c.cutoff.Fraction
		}
		total := newRequestShare * flows[tier].offered
		if next.Fraction < 1 && flows[tier].admitted > 0 {
			total = flows[tier].admitted / (1 - next.Fraction)
		}
		if total*next.Fraction > remaining {
			next.Fraction -= remaining / total
			return next, false
		}
		remaining -= total * next.Fraction
		next.Fraction = 0
	}
	return next, true
}
