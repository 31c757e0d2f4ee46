package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/mirror"
)

const (
	// mirrorReportMaxAge is how long a node is counted after its last report.
	mirrorReportMaxAge = 2500 * time.Millisecond
	// If more than maxLossRatio of the copies, and at least minLostCopies, are lost, the
	// share of the copied conversations is multiplied by shareReductionFactor.
	maxLossRatio         = 0.02
	shareReductionFactor = 0.7
	minLostCopies        = 4
	// shareReductionInterval is the minimum time between two reductions.
	shareReductionInterval = 2 * time.Second
)

// activeMirror is the leader's state of one mirror in force.
type activeMirror struct {
	grant mirror.Grant
	// eraStart is the first fleet version of the era.
	eraStart feed.FleetVersion
	// copied and lost are counted since the last reduction of the share, at
	// shareReducedAt.
	copied, lost   uint64
	shareReducedAt time.Duration
}

// mirrorGrants returns the grants of the mirrors in force. An era ends when a node joins,
// leaves or restarts, as no other node knows what that node saw of a conversation.
func (c *coordinator) mirrorGrants() (grants []mirror.Grant) {
	var mirrors []mirror.Mirror
	var versions []config.Version
	var compiled *config.RoutingTable
	c.store.read(func(t *tables) {
		if mirrors, versions = t.currentMirrors(); len(mirrors) > 0 {
			compiled = t.compiledConfiguration()
		}
	})
	if len(mirrors) == 0 {
		clear(c.activeMirrors)
		return nil
	}
	incarnations := c.detector.CombineIncarnations(mirrorReportMaxAge, mirror.IncarnationHash)
	inForce := map[string]bool{}
	for i, mirror := range mirrors {
		if !mirror.Until.After(c.clock.Wall()) || compiled.HasRouteTo(mirror.Shadow) {
			continue
		}
		inForce[mirror.Name] = true
		grants = append(grants, c.mirrorGrant(mirror, uint64(versions[i]), incarnations))
	}
	for name := range c.activeMirrors {
		if !inForce[name] {
			delete(c.activeMirrors, name)
		}
	}
	slices.SortFunc(grants, func(a, b mirror.Grant) int { return cmp.Compare(a.Name, b.Name) })
	return grants
}

func (c *coordinator) mirrorGrant(declared mirror.Mirror, version, incarnations uint64) mirror.Grant {
	active := c.activeMirrors[declared.Name]
	if active == nil || active.grant.Version != version {
		active = &activeMirror{grant: mirror.Grant{Name: declared.Name, Version: version, Share: declared.Share}}
		c.activeMirrors[declared.Name] = active
	}
	if active.grant.Era == 0 || active.grant.Incarnations != incarnations {
		// The fleet that is being built gets the next count.
		c.eraCount++
		active.grant.Era, active.grant.Incarnations, active.grant.Settled = c.term<<32|c.eraCount, incarnations, false
		active.eraStart = feed.FleetVersion{Term: c.term, Count: c.lastFleet.Count + 1}
	}
	if touch := c.detector.Usage("", active.eraStart); !active.grant.Settled && touch.Proxies > 0 && touch.Outdated == 0 {
		active.grant.Settled = true
	}
	now := time.Duration(c.clock.Monotonic())
	if active.lost >= minLostCopies && float64(active.lost) > maxLossRatio*float64(active.copied+active.lost) && now-active.shareReducedAt >= shareReductionInterval {
		active.grant.Share *= shareReductionFactor
		active.copied, active.lost, active.shareReducedAt = 0, 0, now
	}
	return active.grant
}

// recordCopies adds the copy counts that a node reported.
func (c *coordinator) recordCopies(deltas []mirror.CountDelta) {
	for _, delta := range deltas {
		if active := c.activeMirrors[delta.Name]; active != nil {
			active.copied += delta.Copied
			active.lost += delta.Lost
		}
	}
}

// MirrorPage lists the configured mirrors and the grants in force that the leader issued.
type MirrorPage struct {
	Mirrors []mirror.Mirror `json:"Mirrors"`
	Grants  []mirror.Grant  `json:"Grants"`
}

func (n *node) mirrorsEndpoint(context.Context, any) (any, error) {
	page := MirrorPage{Mirrors: []mirror.Mirror{}, Grants: []mirror.Grant{}}
	configuration, err := n.readConfig()
	if err != nil {
		return nil, err
	}
	mirrors, _ := configuration.Mirrors()
	page.Mirrors = append(page.Mirrors, mirrors...)
	n.store.read(func(t *tables) {
		if t.fleetFresh(n.clock.Monotonic(), feed.GrantDuration) {
			page.Grants = append(page.Grants, t.fleet.Mirrors...)
		}
	})
	return page, nil
}
