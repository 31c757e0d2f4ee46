package control

import (
	"context"
	"slices"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

const (
	// maxFailedReads is the number of consecutive failures after which the leader becomes
	// ineligible.
	maxFailedReads = 4
	// readCheckInterval is how often a node that is not reading the list checks whether
	// a read is due.
	readCheckInterval = 50 * time.Millisecond
	// ineligibleDuration is how long a leader that cannot read the list stays ineligible.
	ineligibleDuration = 3 * time.Second
)

// listPoller polls the platform's server list while this node is the leader, and publishes
// changes under its term. A leader that cannot read the list becomes ineligible for a while,
// so that the next member in the order takes over. While a read is overdue, other members
// also read the list and publish the draining servers.
type listPoller struct {
	*node
	reader   *listReader
	failures int
	// lastRead is when the last read started and ended, and the calls that it took.
	lastRead struct {
		started, ended clock.Instant
		calls          int
	}
	// progressSentAt is when this node last reported to the members that a read is in progress.
	progressSentAt clock.Instant
	// unreadable describes the entries that could not be decoded in the last complete read.
	unreadable []string
}

// pollPlatform polls the platform's list until the context ends.
func (n *node) pollPlatform(ctx context.Context) {
	poller := &listPoller{node: n, reader: newListReader(n.clock, func() string { return n.settings.Load().Platform.CloudAPI.Address })}
	poller.reader.zones = func() ([]string, int) {
		servers := n.fleet().Servers
		return zonesOf(n.settings.Load().Platform.Zones, servers), len(servers)
	}
	n.eligible.Store(true)
	for ctx.Err() == nil {
		timer := time.NewTimer(poller.poll(ctx))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// poll reads the list once, if this node is to read it and a read is due, and returns the
// time until the next check.
func (p *listPoller) poll(ctx context.Context) (wait time.Duration) {
	leading := p.isLeader.Load()
	if !leading {
		p.failures = 0
		if !p.isStandbyReader() {
			return readCheckInterval
		}
	}
	if delay := p.untilNextRead(leading); delay > 0 {
		return min(delay, readCheckInterval)
	}
	p.reader.onPage, p.reader.callsPerSecond = p.handlePage, p.pace(leading).Burst()
	p.lastRead.started = p.clock.Monotonic()
	read, err := p.reader.read(ctx)
	p.lastRead.ended, p.lastRead.calls = p.clock.Monotonic(), read.calls
	delay := p.untilNextRead(leading)
	if leading {
		p.recordResult(err)
	}
	if err == nil {
		p.logUnreadable(read.unreadable)
		if leading {
			p.coordinator.loop.Offer(func() { p.coordinator.updateServers(read.servers) })
		}
		p.sendListProgress(messages.ListProgress{
			Complete: true, Age: clock.Duration(p.lastRead.ended - read.started), Next: clock.Duration(p.nextPageDelay()),
		})
	}
	return min(delay, readCheckInterval)
}

// logUnreadable logs the entries that cannot be decoded when they are others than before.
func (p *listPoller) logUnreadable(entries []string) {
	if slices.Equal(entries, p.unreadable) {
		return
	}
	p.unreadable = entries
	for _, entry := range entries {
		p.log("error", "an entry of the platform's server list cannot be decoded and counts as missing", "entry", entry)
	}
}

// nextPageDelay is the time after the end of a read within which the next page must be read,
// by this node or by another leader in its place, at the leader's share of the rate limit.
func (p *listPoller) nextPageDelay() time.Duration {
	pace := p.paceForShare(listing.LeaderShare)
	return time.Duration(pace.Next(p.lastRead.started, p.lastRead.ended, p.lastRead.calls)-p.lastRead.ended) + listing.PageInterval
}

// untilNextRead is how long this node waits before it reads again in its present role: a
// node that has become the leader meanwhile waits for a shorter time.
func (p *listPoller) untilNextRead(leading bool) time.Duration {
	if p.lastRead.calls == 0 {
		return 0
	}
	nextRead := p.pace(leading).Next(p.lastRead.started, p.lastRead.ended, p.lastRead.calls)
	return time.Duration(nextRead - p.clock.Monotonic())
}

// handlePage publishes the draining servers of one page without waiting for the rest of the
// list, and periodically reports to the members that the read is in progress.
func (p *listPoller) handlePage(servers []feed.Server) {
	p.publishLeaving(servers)
	if now := p.clock.Monotonic(); time.Duration(now-p.progressSentAt) >= listing.ProgressInterval {
		p.progressSentAt = now
		p.sendListProgress(messages.ListProgress{Next: clock.Duration(listing.PageInterval)})
	}
}

// pace is how often this node may read the list. A leader whose lease has expired reads like
// an isolated node, as it may have a successor that it doesn't know of.
func (p *listPoller) pace(leading bool) listing.Pace {
	share := listing.IsolatedShare
	switch {
	case !leading:
		share = max(share, p.standbyRateShare())
	case p.holdsLease(p.ownTerm.Load()):
		share = listing.LeaderShare
	}
	return p.paceForShare(share)
}

// paceForShare is the pace of a reader with a share of the platform's rate limit.
func (p *listPoller) paceForShare(share float64) listing.Pace {
	current := p.settings.Load()
	return listing.Pace{MinInterval: current.Tuning.PollInterval.Std(), Rate: current.Platform.CloudAPI.RatePerS * share}
}

// recordResult counts consecutive failures; after maxFailedReads this node is ineligible
// for ineligibleDuration.
func (p *listPoller) recordResult(err error) {
	if err == nil {
		p.failures = 0
		return
	}
	if p.failures++; p.failures < maxFailedReads {
		return
	}
	p.log("warn", "failed to read the platform's server list; giving up leadership for a while", "error", err)
	p.eligible.Store(false)
	time.AfterFunc(ineligibleDuration, func() { p.eligible.Store(true) })
	p.failures = 0
}

// fleet returns the fleet that this node's feed last published.
func (n *node) fleet() (fleet feed.Fleet) {
	n.hub.Read(func(replica *feed.Replica) { fleet = replica.Fleet })
	return fleet
}
