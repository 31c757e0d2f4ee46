package control

import (
	"math"
	"slices"
	"sort"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/shunt"
	"ploverhitch/internal/trial"
)

// list takes a reading of the platform's list.
func (c *coordinator) list(servers []feed.Server) {
	if !c.isMaster() {
		return
	}
	c.listed = feed.Settle(c.listed, servers)
	known := map[string]bool{}
	for _, server := range c.listed {
		known[server.ID] = true
	}
	c.court.Keep(func(id string) bool { return known[id] })
	c.settleVersions()
	c.publish()
}

func (c *coordinator) isVersioned() bool { return c.set.Load().Platform.Bounds.CanaryShare > 0 }

// settleVersions notes which version is in force where that is not known yet:
// the one that most of a service's ready servers show.
func (c *coordinator) settleVersions() {
	if !c.isVersioned() {
		return
	}
	counts := map[string]map[string]int{}
	for _, server := range c.listed {
		if state, isKnown := c.states[server.Service]; server.IsReady && (!isKnown || state.InForce == "") {
			if counts[server.Service] == nil {
				counts[server.Service] = map[string]int{}
			}
			counts[server.Service][server.Revision]++
		}
	}
	for service, versions := range counts {
		best := ""
		for version, count := range versions {
			if best == "" || count > versions[best] || count == versions[best] && version < best {
				best = version
			}
		}
		state := c.states[service]
		state.Subject, state.InForce = service, best
		if best != "" && best != state.Target {
			_ = c.write(state)
		}
	}
}

// publish lays the fleet as it is to be used, and tells every member that has
// not confirmed it; while shares are granted, it renews them.
func (c *coordinator) publish() {
	if !c.holdsLease(c.term) {
		return
	}
	now := c.clock.Steady()
	c.laidOutAt = now
	next := feed.Fleet{Term: c.term, Count: c.last.Count, Servers: slices.Clone(c.withoutLeaving()), Holder: c.self}
	if next.Servers == nil {
		return
	}
	next.Proxies = c.proxies()
	c.grade(&next)
	next.Stages, next.Cutoffs, next.Mirrors = c.stages(), c.cutoffs(), c.mirrors()
	isSame := c.last.Term == c.term && c.last.Proxies == next.Proxies && c.last.Holder == next.Holder &&
		slices.Equal(c.last.Shares, next.Shares) && sameStages(c.last.Stages, next.Stages) && slices.Equal(c.last.Servers, next.Servers) &&
		slices.Equal(c.last.Cutoffs, next.Cutoffs) && slices.Equal(c.last.Mirrors, next.Mirrors)
	isRenewal := next.HoldsGrants() && time.Duration(now-c.toldAt) >= renewPeriod
	if !isSame || isRenewal {
		next.Count++
		c.last, c.toldAt = next, now
		if c.published = append(c.published, next); len(c.published) > publishedKept {
			c.published = slices.Clone(c.published[1:])
		}
		for _, share := range next.Shares {
			if d := c.drives[share.Service]; d != nil && share.Part >= 1 && d.full.Term == 0 {
				d.full = next.Reading()
			}
		}
	}
	c.tell(c.last)
}

// withoutLeaving is the list with what this node's feed knows to leave: another
// member may have read that after the list at hand.
func (c *coordinator) withoutLeaving() (servers []feed.Server) {
	c.hub.Read(func(board *feed.Board) { servers = board.WithoutLeaving(c.listed) })
	return servers
}

// proxies is how many share the servers' connections: those that report, which
// in this term, and at its beginning by the last holder's word, were never fewer.
func (c *coordinator) proxies() int {
	count := max(len(c.hub.Followers()), c.court.Proxies(proxiesSpan))
	if c.last.Term == c.term || time.Duration(c.clock.Steady()-c.termAt) < proxiesSpan {
		count = max(count, c.last.Proxies)
	}
	return count
}

// tell brings the reading to every member that has not confirmed it yet, as a
// change where the member holds one that is still known; no member waits for
// another.
func (c *coordinator) tell(fleet feed.Fleet) {
	for _, member := range c.view().Members {
		told, _ := c.told.Load(member)
		at, isTold := told.(feed.Reading)
		if isTold && !fleet.Reading().Outranks(at) {
			continue
		}
		if _, isOnWay := c.telling.LoadOrStore(member, true); isOnWay {
			continue
		}
		out := fleet
		for _, old := range c.published {
			if isTold && old.Reading() == at {
				out = fleet.ChangeOf(old)
			}
		}
		go func() {
			defer c.telling.Delete(member)
			if !c.holdsLease(fleet.Term) {
				return
			}
			var done messages.Done
			switch err := c.ask(member, messages.KindFleet, out, &done, askSpan); {
			case err == nil && done.OK:
				c.told.Store(member, fleet.Reading())
			case err == nil:
				// What it holds is not what was thought: it gets the whole.
				c.told.Delete(member)
			}
		}()
	}
}

// grade says of each server whether it may get requests, and which it shares.
func (c *coordinator) grade(fleet *feed.Fleet) {
	groups := map[string][]string{}
	for i, server := range fleet.Servers {
		state, isKnown := c.states[server.Service]
		switch {
		case !c.isVersioned() || !isKnown || state.InForce == "" || server.Revision == state.InForce:
			fleet.Servers[i].Grade = feed.Open
		default:
			fleet.Servers[i].Grade = feed.Shut
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
	if now := c.clock.Steady(); c.paces == nil || time.Duration(now-c.pacedAt) >= pacePeriod {
		c.paces, c.pacedAt = make(map[string]int, len(fleet.Servers)), now
		for _, server := range fleet.Servers {
			c.paces[server.ID] = c.court.Pace(server.ID)
		}
	}
	for i := range fleet.Servers {
		fleet.Servers[i].IsAside = aside[fleet.Servers[i].ID]
		fleet.Servers[i].Pace = c.paces[fleet.Servers[i].ID]
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
	inPhase := time.Duration(c.clock.Steady() - d.phaseAt)
	part := state.Share(c.plan(), trial.Facts{InPhase: inPhase, Finding: d.finding})
	fleet.Shares = append(fleet.Shares, feed.Share{Service: state.Subject, Number: state.Number, Part: part})
	old, fresh := sides(fleet.Servers, state)
	wanted := max(2, int(math.Ceil(part*float64(len(old))*busyPart)))
	if part >= allPart {
		wanted = len(fresh)
	}
	for _, i := range spread(fleet.Servers, fresh)[:min(wanted, len(fresh))] {
		fleet.Servers[i].Grade = feed.OnTrial
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
		cells[servers[i].Cell] = append(cells[servers[i].Cell], i)
	}
	names := make([]string, 0, len(cells))
	for cell, list := range cells {
		names = append(names, cell)
		sort.Slice(list, func(x, y int) bool {
			return shunt.PlaceOf(servers[list[x]].ID) < shunt.PlaceOf(servers[list[y]].ID)
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
