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

// Sites asks the holder of the duty for the tree and what stands of its sites.
//
// Example:
//
//	page, err := control.Sites()
func (c *Control) Sites() (page control.SitePage, err error) {
	return page, c.readFromLeader("/v1/sites", &page, func() (bool, string) { return page.IsLeader, page.Leader })
}

// readAtHolder reads a page, and reads it again at the holder of the duty where the
// first answer, which says who that is, came from another node.
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

// Passage is where a part of a lost site's callers would go.
type SiteFailover struct {
	Service string `json:"Service"`
	To      string `json:"To"`
	Load    int    `json:"Load"`
	// IsLeft marks what no site has room for.
	Unplaced bool `json:"IsLeft,omitempty"`
}

// Without forecasts where the callers of a site would go if its servers dropped
// out now, by what the accounts say. It shifts nothing.
//
// Example:
//
//	passages, err := inspector.Without(page, "tvm-a")
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

// rebuild lays the tree of a page anew.
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
