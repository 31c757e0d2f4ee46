package inspect

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"ploverhitch/internal/control"
	"ploverhitch/internal/sites"
)

// Sites queries the leader for the site tree and the state of its sites.
func (c *Control) Sites() (page control.SitePage, err error) {
	return page, c.readFromLeader("/v1/sites", &page, func() (bool, string) { return page.IsLeader, page.Leader })
}

// readFromLeader reads a page and, if the responding node is not the leader, reads it
// again from the leader that the first response names.
func (c *Control) readFromLeader(path string, out any, leader func() (isLeader bool, address string)) error {
	if err := c.read(path, out); err != nil {
		return err
	}
	isLeader, address := leader()
	if isLeader || address == "" {
		return nil
	}
	leaderControl, err := c.memberControl(address)
	if err != nil {
		return err
	}
	return leaderControl.read(path, out)
}

// SiteFailover is a part of a lost site's load and the site that would receive it.
type SiteFailover struct {
	Service string `json:"Service"`
	To      string `json:"To"`
	Load    int    `json:"Load"`
	// Unplaced marks load for which no site has spare capacity.
	Unplaced bool `json:"IsLeft,omitempty"`
}

// ForecastSiteLoss computes from the accounts where the load of a site would go if its
// servers failed now. It moves no traffic.
func ForecastSiteLoss(page control.SitePage, site string) (out []SiteFailover, err error) {
	tree, err := buildTree(page.Sites)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(page.Sites, func(s sites.Site) bool { return s.Name == site }) {
		return nil, errors.NotFoundf("site %s", site)
	}
	spare, load := map[sites.Key]int{}, map[string]int{}
	for _, account := range page.Accounts {
		spare[sites.Key{Service: account.Service, Site: account.Site}] = sites.SpareCapacity(account.Capacity, account.Own) - account.Remote + account.RemoteBySite[site]
		load[account.Service] += account.RemoteBySite[site]
		if account.Site == site {
			load[account.Service] += account.Own
		}
	}
	for _, service := range slices.Sorted(maps.Keys(load)) {
		remaining := load[service]
		for _, to := range tree.FailoverOrder(site) {
			if part := min(remaining, spare[sites.Key{Service: service, Site: to}]); part > 0 {
				out, remaining = append(out, SiteFailover{Service: service, To: to, Load: part}), remaining-part
			}
		}
		if remaining > 0 {
			out = append(out, SiteFailover{Service: service, Load: remaining, Unplaced: true})
		}
	}
	return out, nil
}

// buildTree rebuilds the site tree from the sites of a page.
func buildTree(all []sites.Site) (*sites.Tree, error) {
	var named []sites.Site
	for _, site := range all {
		if site.Name != sites.Root {
			named = append(named, site)
		}
	}
	return sites.Build(nil, named)
}

func (c *Commands) sites(control *Control) (int, error) {
	page, err := control.Sites()
	if err != nil {
		return ExitError, err
	}
	if *c.without != "" {
		failovers, err := ForecastSiteLoss(page, *c.without)
		if err != nil {
			return ExitError, err
		}
		status, rows := ExitClean, [][]string{{"SERVICE", "TO", "LOAD"}}
		for _, failover := range failovers {
			to := failover.To
			if failover.Unplaced {
				status, to = ExitFindings, "(no room)"
			}
			rows = append(rows, []string{failover.Service, to, strconv.Itoa(failover.Load)})
		}
		c.print(append([]SiteFailover{}, failovers...), rows)
		return status, nil
	}
	rows := [][]string{{"SITE", "PARENT", "SERVICE", "CAPACITY", "OWN", "PASSED", "GRANTED", "FROM"}}
	for _, account := range page.Accounts {
		from := ""
		for _, site := range slices.Sorted(maps.Keys(account.RemoteBySite)) {
			from += fmt.Sprintf("%s:%d ", site, account.RemoteBySite[site])
		}
		rows = append(rows, []string{account.Site, account.Parent, account.Service, strconv.Itoa(account.Capacity), strconv.Itoa(account.Own), strconv.Itoa(account.Remote), strconv.Itoa(account.Leased), from})
	}
	c.print(page, rows)
	return ExitClean, nil
}
