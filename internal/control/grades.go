package control

import (
	"math"
	"sort"
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/trial"
)

// grade says of each server whether it may get requests, and which it shares.
func (c *coordinator) assignGrades(fleet *feed.Fleet) {
	groups := map[string][]string{}
	for i, server := range fleet.Servers {
		state, known := c.states[server.Service]
		switch {
		case !c.tracksVersions() || !known || state.InForce == "" || server.Revision == state.InForce:
			fleet.Servers[i].Grade = feed.Open
		default:
			fleet.Servers[i].Grade = feed.Shut
		}
		if server.IsReady {
			group := server.Service + " " + server.Revision
			groups[group] = append(groups[group], server.ID)
		}
	}
	ejected := map[string]bool{}
	for _, group := range groups {
		for id := range c.detector.Aside(group) {
			ejected[id] = true
		}
	}
	if now := c.clock.Steady(); c.relativeLatencies == nil || time.Duration(now-c.latenciesReadAt) >= latencyPublishInterval {
		c.relativeLatencies, c.latenciesReadAt = make(map[string]int, len(fleet.Servers)), now
		for _, server := range fleet.Servers {
			c.relativeLatencies[server.ID] = c.detector.Pace(server.ID)
		}
	}
	for i := range fleet.Servers {
		fleet.Servers[i].IsAside = ejected[fleet.Servers[i].ID]
		fleet.Servers[i].Pace = c.relativeLatencies[fleet.Servers[i].ID]
	}
	for subject, state := range c.states {
		if progress := c.progress[subject]; state.Phase.IsActive() && !state.IsStaged() && progress != nil && progress.number == state.Number {
			c.grantShare(fleet, state, progress)
		}
	}
	sort.Slice(fleet.Shares, func(i, j int) bool { return fleet.Shares[i].Service < fleet.Shares[j].Service })
}

// share grants a version on trial its part of the requests, at just so many of
// its servers that each is about as busy as one of the version in force.
func (c *coordinator) grantShare(fleet *feed.Fleet, state trial.State, progress *rolloutProgress) {
	inPhase := time.Duration(c.clock.Steady() - progress.phaseStartedAt)
	part := state.Share(c.rolloutPlan(), trial.Facts{InPhase: inPhase, Finding: progress.finding})
	fleet.Shares = append(fleet.Shares, feed.Share{Service: state.Subject, Number: state.Number, Part: part})
	current, target := splitByVersion(fleet.Servers, state)
	count := max(2, int(math.Ceil(part*float64(len(current))*serverCountFactor)))
	if part >= allServersShare {
		count = len(target)
	}
	for _, i := range alternateZones(fleet.Servers, target)[:min(count, len(target))] {
		fleet.Servers[i].Grade = feed.OnTrial
	}
}

const (
	// busyPart makes the few servers on trial a little busier than the others.
	serverCountFactor = 0.9
	// allPart is from which share on all servers of the new version take part.
	allServersShare = 0.3
)

// sides are the places in the list of a service's ready servers: of the version
// in force, and of the one on trial.
func splitByVersion(servers []feed.Server, state trial.State) (current, target []int) {
	for i, server := range servers {
		switch {
		case server.Service != state.Subject || !server.IsReady:
		case server.Revision == state.Target:
			target = append(target, i)
		case server.Revision == state.InForce:
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

// spread orders servers by their places, the cells by turns.
func alternateZones(servers []feed.Server, indexes []int) (ordered []int) {
	byZone := map[string][]int{}
	for _, i := range indexes {
		byZone[servers[i].Cell] = append(byZone[servers[i].Cell], i)
	}
	zones := make([]string, 0, len(byZone))
	for zone, list := range byZone {
		zones = append(zones, zone)
		sort.Slice(list, func(x, y int) bool {
			return balancer.PlaceOf(servers[list[x]].ID) < balancer.PlaceOf(servers[list[y]].ID)
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
