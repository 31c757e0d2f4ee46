package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/branchline"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

// layPeriod is how often the room of the sites is laid where no news says so.
const layPeriod = time.Second

// onReport hears a proxy, and answers with its lots.
func (n *node) onReport(in messages.ProxyReport, answer func(messages.ProxyReportResponse)) {
	c := n.coordinator
	c.loop.Offer(func() {
		c.court.Hear(in.Evidence)
		c.cells[in.Evidence.Node] = in.Zone
		if c.isGauging() {
			c.gauge.Hear(in.Evidence.Node, in.Loads)
		}
		c.hearCopies(in.Mirrors)
		if c.isMaster() && c.tree != nil {
			answer(messages.ProxyReportResponse{CapacityLeases: c.office.Hear(in.Evidence.Node, c.tree.SiteOf("", in.Zone), in.Uses)})
		}
	})
}

// layTree lays the tree and the room of its sites after a new reading.
func (c *coordinator) layTree() {
	tree, now, isSame := c.tree, c.clock.Steady(), false
	c.store.read(func(t *tables) {
		digest := t.bookDigest()
		// What is warming gets ready with no news.
		isSame = digest == c.treeOf && c.officeTerm == c.term && c.laid == c.last.Reading() && time.Duration(now-c.laidAt) < layPeriod
		if digest != c.treeOf {
			// What was kept was checked; if cells have gone since, the old
			// tree goes on.
			if built, err := t.book().Tree(c.settings.Load().Platform.Cells); err == nil {
				tree = built
			}
			c.treeOf = digest
		}
	})
	if tree == nil || isSame {
		return
	}
	c.tree, c.laid, c.laidAt = tree, c.last.Reading(), now
	declared := map[branchline.Key]int{}
	wall := c.clock.Wall()
	for _, server := range c.last.Servers {
		if !server.IsReady || server.Grade != feed.Open || server.IsAside || server.WarmLeft(wall) > 0 {
			continue
		}
		declared[branchline.Key{Service: server.Service, Site: tree.SiteOf(server.ID, server.Cell)}] += server.Capacity
	}
	if c.office == nil || c.officeTerm != c.term {
		c.office, c.officeTerm = branchline.NewOffice(tree, c.clock), c.term
	}
	c.office.Lay(tree, declared)
}

// SitePage is the tree and what stands of its sites.
type SitePage struct {
	Sites    []branchline.Site    `json:"Sites"`
	Accounts []branchline.Account `json:"Accounts"`
	// IsHolder tells whether this node gives out the room; only then are there
	// accounts.
	IsHolder bool   `json:"IsHolder"`
	Holder   string `json:"Holder"`
}

func (n *node) sitesPoint(context.Context, any) (any, error) {
	c, page := n.coordinator, SitePage{Sites: []branchline.Site{}, Accounts: []branchline.Account{}, Holder: n.leader()}
	runAndWait(c.loop, func() {
		if page.IsHolder = c.isMaster() && c.office != nil && c.tree != nil; page.IsHolder {
			page.Sites = c.tree.Sites()
			page.Accounts = append(page.Accounts, c.office.Accounts()...)
		}
	})
	if page.IsHolder {
		return page, nil
	}
	book, err := n.readConfig()
	if err != nil {
		return nil, err
	}
	tree, err := book.Tree(n.settings.Load().Platform.Cells)
	if err != nil {
		return nil, apierror.New(apierror.ControlPlaneUnavailable, err.Error())
	}
	page.Sites = tree.Sites()
	return page, nil
}

// checkSites refuses a book whose sites make no tree.
func (n *node) checkSites(book config.Book) error {
	_, err := book.Tree(n.settings.Load().Platform.Cells)
	if err != nil {
		return apierror.New(apierror.InvalidManifest, errors.Cause(err).Error())
	}
	return nil
}
