package shedding

import (
	"time"

	"ploverhitch/internal/clock"
)

// serviceState is the window of loads and the cutoff of one service.
type serviceState struct {
	loads  [steps]map[string][]Load
	cutoff Cutoff
	active bool
	// changedAt is when the cutoff last changed, calmSince when the service became
	// calm, and requiredCalm how long it must stay calm before the cutoff is lowered.
	changedAt, calmSince clock.Instant
	// changedStep is the step in which the cutoff last changed.
	changedStep  int64
	requiredCalm time.Duration
	lastLowered  bool
	// capacity is the number of requests per second that the servers executed when
	// the cutoff was last raised, at raisedAt.
	capacity float64
	raisedAt clock.Instant
}

// tierFlow counts the requests of one tier that arrived and those that no cutoff
// rejected.
type tierFlow struct {
	offered, admitted float64
	keyed             bool
}

// tierFlows sums the requests since the step by tier.
func (s *serviceState) tierFlows(from int64) (out []tierFlow) {
	for step := from; step < from+steps; step++ {
		for _, loads := range s.loads[step%steps] {
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

// windowTotals sums a service's loads over the evaluated steps.
type windowTotals struct {
	sent, rejected, late, offered, shed float64
	// overloadedNodes counts the nodes whose share of rejected and late attempts
	// exceeds calmThreshold.
	nodes, overloadedNodes int
}

func (s *serviceState) totals(from, last int64) (out windowTotals) {
	type nodeCounts struct{ sent, overloaded float64 }
	nodes := map[string]nodeCounts{}
	for step := from; step <= last; step++ {
		for node, loads := range s.loads[step%steps] {
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

// raisedCutoff returns a cutoff that also rejects the given share of the admitted
// requests, starting with the last tier. It rejects requests of keyed tiers only if
// shedKeyed is set.
func (s *serviceState) raisedCutoff(share float64, flows []tierFlow, shedKeyed bool) Cutoff {
	remaining := 0.0
	for _, f := range flows {
		remaining += share * f.admitted
	}
	next := s.cutoff
	for tier := min(int(next.Tier), len(flows)-1); tier >= 0; tier-- {
		if flows[tier].keyed && !shedKeyed {
			return next
		}
		fraction := 0.0
		if Tier(tier) == s.cutoff.Tier {
			fraction = s.cutoff.Fraction
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

// newRequestShare is the assumed share of first requests, as opposed to retries, in
// a tier whose requests are all rejected.
const newRequestShare = 0.5

// loweredCutoff returns a cutoff that admits more requests, by the given share of
// the admitted ones, starting with those that were rejected last. none reports that
// nothing is left to reject.
func (s *serviceState) loweredCutoff(share float64, flows []tierFlow) (next Cutoff, none bool) {
	remaining := 0.0
	for _, f := range flows {
		remaining += share * f.admitted
	}
	next = s.cutoff
	for tier := max(0, int(next.Tier)); tier < len(flows); tier++ {
		next.Tier, next.Fraction = Tier(tier), 1
		if Tier(tier) == s.cutoff.Tier {
			next.Fraction = s.cutoff.Fraction
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
