package control

import (
	"math"
	"sort"
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/rollout"
)

// assignGrades sets the grade of each server, which determines the requests that it may
// get, and adds the shares of the active rollouts to the fleet.
func (c *coordinator) assignGrades(fleet *feed.Fleet) {
	groups := map[string][]string{}
	for i, server := range fleet.Servers {
		state, known := c.states[server.Service]
		switch {
		case !c.tracksVersions() || !known || state.CurrentVersion == "" || server.Revision == state.CurrentVersion:
			fleet.Servers[i].Admission = feed.Open
		default:
			fleet.Servers[i].Admission = feed.Blocked
		}
		if server.IsReady {
			group := server.Service + " " + server.Revision
			groups[group] = append(groups[group], server.ID)
		}
	}
	ejected := map[string]bool{}
	for _, group := range groups {
		for id := range c.detector.Ejected(group) {
			ejected[id] = true
		}
	}
	if now := c.clock.Monotonic(); c.relativeLatencies == nil || time.Duration(now-c.latenciesReadAt) >= latencyPublishInterval {
		c.relativeLatencies, c.latenciesReadAt = make(map[string]int, len(fleet.Servers)), now
		for _, server := range fleet.Servers {
			c.relativeLatencies[server.ID] = c.detector.LatencyRatio(server.ID)
		}
	}
	for i := range fleet.Servers {
		fleet.Servers[i].Ejected = ejected[fleet.Servers[i].ID]
		fleet.Servers[i].RelativeLatency = c.relativeLatencies[fleet.Servers[i].ID]
	}
	for subject, state := range c.states {
		if progress := c.progress[subject]; state.Phase.IsActive() && !state.IsStaged() && progress != nil && progress.number == state.Number {
			c.grantShare(fleet, state, progress)
		}
	}
	sort.Slice(fleet.Shares, func(i, j int) bool { return fleet.Shares[i].Service < fleet.Shares[j].Service })
}

// grantShare grants the target version of a rollout its share of the requests, on as many
// servers as make each of them about as busy as one that runs the version in force.
func (c *coordinator) grantShare(fleet *feed.Fleet, state rollout.State, progress *rolloutProgress) {
	inPhase := time.Duration(c.clock.Monotonic() - progress.phaseStartedAt)
	share := state.Share(c.rolloutPlan(), rollout.Observation{InPhase: inPhase, Finding: progress.finding})
	fleet.Shares = append(fleet.Shares, feed.CanaryShare{Service: state.Subject, Number: state.Number, Fraction: share})
	current, target := splitByVersion(fleet.Servers, state)
	count := max(2, int(math.Ceil(share*float64(len(current))*serverCountFactor)))
	if share >= allServersShare {
		count = len(target)
	}
	for _, i := range alternateZones(fleet.Servers, target)[:min(count, len(target))] {
		fleet.Servers[i].Admission = feed.Canary
	}
}

const (
	// serverCountFactor makes the few servers of the target version slightly busier than
	// the others.
	serverCountFactor = 0.9
	// allServersShare is the share from which on all servers of the target version take
	// part.
	allServersShare = 0.3
)

// splitByVersion returns the indexes of a service's ready servers that run the version in
// force, and of those that run the target version.
func splitByVersion(servers []feed.Server, state rollout.State) (current, target []int) {
	for i, server := range servers {
		switch {
		case server.Service != state.Subject || !server.IsReady:
		case server.Revision == state.TargetVersion:
			target = append(target, i)
		case server.Revision == state.CurrentVersion:
			current = append(current, i)
		}
	}
	return current, target
}

func totalCapacity(servers []feed.Server, indexes []int) (sum int) {
	for _, i := range indexes {
		sum += servers[i].Capacity
	}
	return sum
}

// alternateZones orders servers by their positions on the hash ring, taking one of each
// zone in turn.
func alternateZones(servers []feed.Server, indexes []int) (ordered []int) {
	byZone := map[string][]int{}
	for _, i := range indexes {
		byZone[servers[i].Zone] = append(byZone[servers[i].Zone], i)
	}
	zones := make([]string, 0, len(byZone))
	for zone, list := range byZone {
		zones = append(zones, zone)
		sort.Slice(list, func(x, y int) bool {
			return balancer.RingPositionOf(servers[list[x]].ID) < balancer.RingPositionOf(servers[list[y]].ID)
		})
	}
	sort.Strings(zones)
	for len(ordered) < len(indexes) {
		for _, zone := range zones {
			if list := byZone[zone]; len(list) > 0 {
				ordered, byZone[zone] = append(ordered, list[0]), list[1:]
			}
		}
	}
	return ordered
}
