package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/sites"
)

// allocationInterval is how often the capacity of the sites is allocated anew without a
// change of the fleet or the configuration.
const allocationInterval = time.Second

// onReport handles a proxy's report and replies with the slots that are allocated to it.
func (n *node) onReport(in messages.ProxyReport, reply func(messages.ProxyReportResponse)) {
	c := n.coordinator
	c.loop.Offer(func() {
		c.detector.AddReport(in.Evidence)
		c.proxyZones[in.Evidence.Node] = in.Zone
		if c.loadControlEnabled() {
			c.loadController.Add(in.Evidence.Node, in.Loads)
		}
		c.recordCopies(in.Mirrors)
		if c.ensureLeading() && c.siteTree != nil {
			reply(messages.ProxyReportResponse{CapacityLeases: c.allocator.HandleReport(in.Evidence.Node, c.siteTree.SiteOf("", in.Zone), in.Uses)})
		}
	})
}

// updateAllocation updates the tree of sites and allocates the sites' capacity if the
// configuration, the term or the fleet has changed, and once per allocationInterval.
func (c *coordinator) updateAllocation() {
	tree, now, unchanged := c.siteTree, c.clock.Monotonic(), false
	c.store.read(func(t *tables) {
		digest := t.configurationDigest()
		// Servers finish their warm-up without an update, hence the interval.
		unchanged = digest == c.siteTreeDigest && c.allocatorTerm == c.term && c.allocatedReading == c.lastFleet.Version() && time.Duration(now-c.allocatedAt) < allocationInterval
		if digest != c.siteTreeDigest {
			// Stored items have been validated. If zones have been removed from the
			// settings since, the previous tree remains in use.
			if built, err := t.configuration().Tree(c.settings.Load().Platform.Zones); err == nil {
				tree = built
			}
			c.siteTreeDigest = digest
		}
	})
	if tree == nil || unchanged {
		return
	}
	c.siteTree, c.allocatedReading, c.allocatedAt = tree, c.lastFleet.Version(), now
	capacities := map[sites.Key]int{}
	wall := c.clock.Wall()
	for _, server := range c.lastFleet.Servers {
		if !server.IsReady || server.Admission != feed.Open || server.Ejected || server.WarmupRemaining(wall) > 0 {
			continue
		}
		capacities[sites.Key{Service: server.Service, Site: tree.SiteOf(server.ID, server.Zone)}] += server.Capacity
	}
	if c.allocator == nil || c.allocatorTerm != c.term {
		c.allocator, c.allocatorTerm = sites.NewAllocator(tree, c.clock), c.term
	}
	c.allocator.Update(tree, capacities)
}

// SitePage contains the tree of sites and the allocation of their capacity.
type SitePage struct {
	Sites    []sites.Site   `json:"Sites"`
	Accounts []sites.Status `json:"Accounts"`
	// IsLeader is whether this node allocates the capacity; only then are there accounts.
	IsLeader bool   `json:"IsHolder"`
	Leader   string `json:"Holder"`
}

func (n *node) sitesEndpoint(context.Context, any) (any, error) {
	c, page := n.coordinator, SitePage{Sites: []sites.Site{}, Accounts: []sites.Status{}, Leader: n.leader()}
	runAndWait(c.loop, func() {
		if page.IsLeader = c.ensureLeading() && c.allocator != nil && c.siteTree != nil; page.IsLeader {
			page.Sites = c.siteTree.Sites()
			page.Accounts = append(page.Accounts, c.allocator.Statuses()...)
		}
	})
	if page.IsLeader {
		return page, nil
	}
	configuration, err := n.readConfig()
	if err != nil {
		return nil, err
	}
	tree, err := configuration.Tree(n.settings.Load().Platform.Zones)
	if err != nil {
		return nil, apierror.New(apierror.ControlPlaneUnavailable, err.Error())
	}
	page.Sites = tree.Sites()
	return page, nil
}

// checkSites returns an error if the sites of the configuration form no tree.
func (n *node) checkSites(configuration config.ItemSet) error {
	_, err := configuration.Tree(n.settings.Load().Platform.Zones)
	if err != nil {
		return apierror.New(apierror.InvalidConfiguration, errors.Cause(err).Error())
	}
	return nil
}
