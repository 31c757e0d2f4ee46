package control

import (
	"slices"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

// updateServers processes a complete read of the platform's server list.
func (c *coordinator) updateServers(servers []feed.Server) {
	if !c.ensureLeading() {
		return
	}
	c.listedServers = feed.Normalize(c.listedServers, servers)
	known := map[string]bool{}
	for _, server := range c.listedServers {
		known[server.ID] = true
	}
	c.detector.RetainServers(func(id string) bool { return known[id] })
	c.initializeVersions()
	c.publish()
}

func (c *coordinator) tracksVersions() bool { return c.settings.Load().Platform.Bounds.CanaryShare > 0 }

// initializeVersions records the version in force of each service for which it is not known
// yet: the one that most of the service's ready servers run.
func (c *coordinator) initializeVersions() {
	if !c.tracksVersions() {
		return
	}
	counts := map[string]map[string]int{}
	for _, server := range c.listedServers {
		if state, known := c.states[server.Service]; server.IsReady && (!known || state.CurrentVersion == "") {
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
		state.Subject, state.CurrentVersion = service, best
		if best != "" && best != state.TargetVersion {
			_ = c.commitState(state)
		}
	}
}

// publish builds the fleet from the current server list and sends it to every member that
// has not confirmed it. While the fleet holds grants, a new count renews them each
// grantRenewalInterval.
func (c *coordinator) publish() {
	if !c.holdsLease(c.term) {
		return
	}
	now := c.clock.Monotonic()
	c.fleetBuiltAt = now
	next := feed.Fleet{Term: c.term, Count: c.lastFleet.Count, Servers: slices.Clone(c.serversWithoutLeaving()), Leader: c.self}
	if next.Servers == nil {
		return
	}
	next.Proxies = c.proxyCount()
	c.assignGrades(&next)
	next.Stages, next.Cutoffs, next.Mirrors = c.stageGrants(), c.cutoffs(), c.mirrorGrants()
	unchanged := c.lastFleet.Term == c.term && c.lastFleet.Proxies == next.Proxies && c.lastFleet.Leader == next.Leader &&
		slices.Equal(c.lastFleet.Shares, next.Shares) && sameStages(c.lastFleet.Stages, next.Stages) && slices.Equal(c.lastFleet.Servers, next.Servers) &&
		slices.Equal(c.lastFleet.Cutoffs, next.Cutoffs) && slices.Equal(c.lastFleet.Mirrors, next.Mirrors)
	renewal := next.HasGrants() && time.Duration(now-c.lastCountAt) >= grantRenewalInterval
	if !unchanged || renewal {
		next.Count++
		c.lastFleet, c.lastCountAt = next, now
		if c.recentFleets = append(c.recentFleets, next); len(c.recentFleets) > maxRecentFleets {
			c.recentFleets = slices.Clone(c.recentFleets[1:])
		}
		for _, share := range next.Shares {
			if progress := c.progress[share.Service]; progress != nil && share.Fraction >= 1 && progress.fullShareVersion.Term == 0 {
				progress.fullShareVersion = next.Version()
			}
		}
	}
	c.sendFleet(c.lastFleet)
}

// serversWithoutLeaving is the server list, corrected by the draining servers that this
// node's feed knows of: another member may have read the list later than this node.
func (c *coordinator) serversWithoutLeaving() (servers []feed.Server) {
	c.hub.Read(func(replica *feed.Replica) { servers = replica.MarkLeaving(c.listedServers) })
	return servers
}

// proxyCount is the number of proxies that share the servers' connections: the larger of the
// followers and the reporting proxies. Within a term the count never falls; at the start of
// a term it is at least the last leader's count until proxyReportMaxAge has passed.
func (c *coordinator) proxyCount() int {
	count := max(len(c.hub.Followers()), c.detector.ProxyCount(proxyReportMaxAge))
	if c.lastFleet.Term == c.term || time.Duration(c.clock.Monotonic()-c.termStartedAt) < proxyReportMaxAge {
		count = max(count, c.lastFleet.Proxies)
	}
	return count
}

// sendFleet sends the fleet to every member that has not confirmed it yet: as a difference
// if the member's last confirmed fleet is still kept, and complete otherwise. The members
// are sent to concurrently.
func (c *coordinator) sendFleet(fleet feed.Fleet) {
	for _, member := range c.view().Members {
		value, _ := c.memberFleetVersions.Load(member)
		confirmed, known := value.(feed.FleetVersion)
		if known && !fleet.Version().NewerThan(confirmed) {
			continue
		}
		if _, sending := c.sendingFleet.LoadOrStore(member, true); sending {
			continue
		}
		message := fleet
		for _, previous := range c.recentFleets {
			if known && previous.Version() == confirmed {
				message = fleet.DiffFrom(previous)
			}
		}
		go func() {
			defer c.sendingFleet.Delete(member)
			if !c.holdsLease(fleet.Term) {
				return
			}
			var done messages.Ack
			switch err := c.call(member, messages.KindFleet, message, &done, callTimeout); {
			case err == nil && done.OK:
				c.memberFleetVersions.Store(member, fleet.Version())
			case err == nil:
				// The member does not have the assumed fleet; send the complete one next time.
				c.memberFleetVersions.Delete(member)
			}
		}()
	}
}
