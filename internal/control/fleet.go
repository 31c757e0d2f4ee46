package control

import (
	"slices"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

// list takes a reading of the platform's list.
func (c *coordinator) updateServers(servers []feed.Server) {
	if !c.isMaster() {
		return
	}
	c.listed = feed.Settle(c.listed, servers)
	known := map[string]bool{}
	for _, server := range c.listed {
		known[server.ID] = true
	}
	c.court.Keep(func(id string) bool { return known[id] })
	c.initializeVersions()
	c.publish()
}

func (c *coordinator) tracksVersions() bool { return c.set.Load().Platform.Bounds.CanaryShare > 0 }

// settleVersions notes which version is in force where that is not known yet:
// the one that most of a service's ready servers show.
func (c *coordinator) initializeVersions() {
	if !c.tracksVersions() {
		return
	}
	counts := map[string]map[string]int{}
	for _, server := range c.listed {
		if state, known := c.states[server.Service]; server.IsReady && (!known || state.InForce == "") {
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
	next := feed.Fleet{Term: c.term, Count: c.last.Count, Servers: slices.Clone(c.serversWithoutLeaving()), Holder: c.self}
	if next.Servers == nil {
		return
	}
	next.Proxies = c.proxyCount()
	c.grade(&next)
	next.Stages, next.Cutoffs, next.Mirrors = c.stages(), c.cutoffs(), c.mirrors()
	unchanged := c.last.Term == c.term && c.last.Proxies == next.Proxies && c.last.Holder == next.Holder &&
		slices.Equal(c.last.Shares, next.Shares) && sameStages(c.last.Stages, next.Stages) && slices.Equal(c.last.Servers, next.Servers) &&
		slices.Equal(c.last.Cutoffs, next.Cutoffs) && slices.Equal(c.last.Mirrors, next.Mirrors)
	renewal := next.HoldsGrants() && time.Duration(now-c.toldAt) >= renewPeriod
	if !unchanged || renewal {
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
	c.sendFleet(c.last)
}

// withoutLeaving is the list with what this node's feed knows to leave: another
// member may have read that after the list at hand.
func (c *coordinator) serversWithoutLeaving() (servers []feed.Server) {
	c.hub.Read(func(board *feed.Board) { servers = board.WithoutLeaving(c.listed) })
	return servers
}

// proxies is how many share the servers' connections: those that report, which
// in this term, and at its beginning by the last holder's word, were never fewer.
func (c *coordinator) proxyCount() int {
	count := max(len(c.hub.Followers()), c.court.Proxies(proxiesSpan))
	if c.last.Term == c.term || time.Duration(c.clock.Steady()-c.termAt) < proxiesSpan {
		count = max(count, c.last.Proxies)
	}
	return count
}

// tell brings the reading to every member that has not confirmed it yet, as a
// change where the member holds one that is still known; no member waits for
// another.
func (c *coordinator) sendFleet(fleet feed.Fleet) {
	for _, member := range c.view().Members {
		value, _ := c.told.Load(member)
		confirmed, known := value.(feed.Reading)
		if known && !fleet.Reading().Outranks(confirmed) {
			continue
		}
		if _, sending := c.telling.LoadOrStore(member, true); sending {
			continue
		}
		message := fleet
		for _, previous := range c.published {
			if known && previous.Reading() == confirmed {
				message = fleet.ChangeOf(previous)
			}
		}
		go func() {
			defer c.telling.Delete(member)
			if !c.holdsLease(fleet.Term) {
				return
			}
			var done messages.Done
			switch err := c.ask(member, messages.KindFleet, message, &done, askSpan); {
			case err == nil && done.OK:
				c.told.Store(member, fleet.Reading())
			case err == nil:
				// What it holds is not what was thought: it gets the whole.
				c.told.Delete(member)
			}
		}()
	}
}
