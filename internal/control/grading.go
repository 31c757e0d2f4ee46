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
func (c *coordinator) grade(fleet *feed.Fleet) {
	groups := map[string][]string{}
	for i, server := range fleet.Servers {
		state, isKnown := c.states[server.Service]
		switch {
		case !c.tracksVersions() || !isKnown || state.InForce == "" || server.Revision == state.InForce:
			fleet.Servers[i].Admission = feed.Open
		default:
			fleet.Servers[i].Admission = feed.Blocked
		}
		if server.IsReady {
			group := server.Service + " " + server.Revision
			groups[group] = append(groups[group], server.ID)
		}
	}
	aside := map[string]bool{}
	for _, group := range groups {
		for id := range c.court.Aside(group) {
			aside[id] = true
		}
	}
	if now := c.clock.Monotonic(); c.paces == nil || time.Duration(now-c.pacedAt) >= pacePeriod {
		c.paces, c.pacedAt = make(map[string]int, len(fleet.Servers)), now
		for _, server := range fleet.Servers {
			c.paces[server.ID] = c.court.Pace(server.ID)
		}
	}
	for i := range fleet.Servers {
		fleet.Servers[i].Ejected = aside[fleet.Servers[i].ID]
		fleet.Servers[i].RelativeLatency = c.paces[fleet.Servers[i].ID]
	}
	for subject, state := range c.states {
		if d := c.drives[subject]; state.Phase.IsActive() && !state.IsStaged() && d != nil && d.number == state.Number {
			c.share(fleet, state, d)
		}
	}
	sort.Slice(fleet.Shares, func(i, j int) bool { return fleet.Shares[i].Service < fleet.Shares[j].Service })
}

// share grants a version on trial its part of the requests, at just so many of
// its servers that each is about as busy as one of the version in force.
func (c *coordinator) share(fleet *feed.Fleet, state trial.State, d *drive) {
	inPhase := time.Duration(c.clock.Monotonic() - d.phaseAt)
	part := state.Share(c.plan(), trial.Facts{InPhase: inPhase, Finding: d.finding})
	fleet.Shares = append(fleet.Shares, feed.CanaryShare{Service: state.Subject, Number: state.Number, Fraction: part})
	old, fresh := sides(fleet.Servers, state)
	wanted := max(2, int(math.Ceil(part*float64(len(old))*busyPart)))
	if part >= allPart {
		wanted = len(fresh)
	}
	for _, i := range spread(fleet.Servers, fresh)[:min(wanted, len(fresh))] {
		fleet.Servers[i].Admission = feed.OnTrial
	}
}

const (
	// busyPart makes the few servers on trial a little busier than the others.
	busyPart = 0.9
	// allPart is from which share on all servers of the new version take part.
	allPart = 0.3
)

// sides are the places in the list of a service's ready servers: of the version
// in force, and of the one on trial.
func sides(servers []feed.Server, state trial.State) (old, fresh []int) {
	for i, server := range servers {
		switch {
		case server.Service != state.Subject || !server.IsReady:
		case server.Revision == state.Target:
			fresh = append(fresh, i)
		case server.Revision == state.InForce:
			old = append(old, i)
		}
	}
	return old, fresh
}

func capacity(servers []feed.Server, at []int) (sum int) {
	for _, i := range at {
		sum += servers[i].Capacity
	}
	return sum
}

// spread orders servers by their places, the cells by turns.
func spread(servers []feed.Server, at []int) (out []int) {
	cells := map[string][]int{}
	for _, i := range at {
		cells[servers[i].Zone] = append(cells[servers[i].Zone], i)
	}
	names := make([]string, 0, len(cells))
	for cell, list := range cells {
		names = append(names, cell)
		sort.Slice(list, func(x, y int) bool {
			return balancer.PlaceOf(servers[list[x]].ID) < balancer.PlaceOf(servers[list[y]].ID)
		})
	}
	sort.Strings(names)
	for len(out) < len(at) {
		for _, cell := range names {
			if list := cells[cell]; len(list) > 0 {
				out, cells[cell] = append(out, list[0]), list[1:]
			}
		}
	}
	return out
}
