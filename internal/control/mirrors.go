package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/loopline"
)

const (
	// livesSpan is how long a node counts after its last report.
	livesSpan = 2500 * time.Millisecond
	// lostMost is the part of the copies that may be lost before fewer
	// conversations are copied, lowerShare what is left of the share then, and
	// lostLeast how many must be lost at least.
	lostMost   = 0.02
	lowerShare = 0.7
	lostLeast  = 4
	// shareRest is the least time between two lowerings.
	shareRest = 2 * time.Second
)

// copying is what the holder knows of one mirror that is in force.
type copying struct {
	grant loopline.Grant
	// begun is the first reading of the era.
	begun feed.FleetVersion
	// copied and lost are counted since the share was lowered last, at loweredAt.
	copied, lost uint64
	loweredAt    time.Duration
}

// mirrors are the grants of the mirrors in force. An era ends when a node comes,
// goes or starts anew, as what it saw of a conversation is known to nobody then.
func (c *coordinator) mirrors() (out []loopline.Grant) {
	var mirrors []loopline.Mirror
	var versions []config.Version
	var sheet *config.RoutingTable
	c.store.read(func(t *tables) {
		if mirrors, versions = t.currentMirrors(); len(mirrors) > 0 {
			sheet = t.compiledBook()
		}
	})
	if len(mirrors) == 0 {
		clear(c.copying)
		return nil
	}
	lives := c.court.Lives(livesSpan, loopline.LifeOf)
	known := map[string]bool{}
	for i, m := range mirrors {
		if !m.Until.After(c.clock.Wall()) || sheet.HasRouteTo(m.Shadow) {
			continue
		}
		known[m.Name] = true
		out = append(out, c.grantOf(m, uint64(versions[i]), lives))
	}
	for name := range c.copying {
		if !known[name] {
			delete(c.copying, name)
		}
	}
	slices.SortFunc(out, func(a, z loopline.Grant) int { return cmp.Compare(a.Name, z.Name) })
	return out
}

func (c *coordinator) grantOf(m loopline.Mirror, version, lives uint64) loopline.Grant {
	held := c.copying[m.Name]
	if held == nil || held.grant.Version != version {
		held = &copying{grant: loopline.Grant{Name: m.Name, Version: version, Share: m.Share}}
		c.copying[m.Name] = held
	}
	if held.grant.Era == 0 || held.grant.Lives != lives {
		// The reading that is being laid is the next one.
		c.eras++
		held.grant.Era, held.grant.Lives, held.grant.IsSettled = c.term<<32|c.eras, lives, false
		held.begun = feed.FleetVersion{Term: c.term, Count: c.last.Count + 1}
	}
	if touch := c.court.Touch("", held.begun); !held.grant.IsSettled && touch.Proxies > 0 && touch.Behind == 0 {
		held.grant.IsSettled = true
	}
	now := time.Duration(c.clock.Monotonic())
	if held.lost >= lostLeast && float64(held.lost) > lostMost*float64(held.copied+held.lost) && now-held.loweredAt >= shareRest {
		held.grant.Share *= lowerShare
		held.copied, held.lost, held.loweredAt = 0, 0, now
	}
	return held.grant
}

// hearCopies sums what the nodes told of their copies.
func (c *coordinator) hearCopies(tallies []loopline.Tally) {
	for _, tally := range tallies {
		if held := c.copying[tally.Name]; held != nil {
			held.copied += tally.Copied
			held.lost += tally.Lost
		}
	}
}

// MirrorPage is the mirrors' grants in force, as the holder of the duty gives them.
type MirrorPage struct {
	Mirrors []loopline.Mirror `json:"Mirrors"`
	Grants  []loopline.Grant  `json:"Grants"`
}

func (n *node) mirrorsPoint(context.Context, any) (any, error) {
	page := MirrorPage{Mirrors: []loopline.Mirror{}, Grants: []loopline.Grant{}}
	book, err := n.readConfig()
	if err != nil {
		return nil, err
	}
	mirrors, _ := book.Mirrors()
	page.Mirrors = append(page.Mirrors, mirrors...)
	n.store.read(func(t *tables) {
		if t.fleetFresh(n.clock.Monotonic(), feed.GrantDuration) {
			page.Grants = append(page.Grants, t.fleet.Mirrors...)
		}
	})
	return page, nil
}
