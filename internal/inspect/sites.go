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
	return page, c.readAtHolder("/v1/sites", &page, func() (bool, string) { return page.IsLeader, page.Leader })
}

// readAtHolder reads a page, and reads it again at the holder of the duty where the
// first answer, which says who that is, came from another node.
func (c *Control) readAtHolder(path string, out any, holder func() (isHolder bool, address string)) error {
	if err := c.read(path, out); err != nil {
		return err
	}
	isHolder, address := holder()
	if isHolder || address == "" {
		return nil
	}
	at, err := c.memberControl(address)
	if err != nil {
		return err
	}
	return at.read(path, out)
}

// Passage is where a part of a lost site's callers would go.
type Passage struct {
	Service string `json:"Service"`
	To      string `json:"To"`
	Load    int    `json:"Load"`
	// IsLeft marks what no site has room for.
	IsLeft bool `json:"IsLeft,omitempty"`
}

// Without forecasts where the callers of a site would go if its servers dropped
// out now, by what the accounts say. It shifts nothing.
//
// Example:
//
//	passages, err := inspector.Without(page, "tvm-a")
func Without(page control.SitePage, site string) (out []Passage, err error) {
	tree, err := rebuild(page.Sites)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(page.Sites, func(s sites.Site) bool { return s.Name == site }) {
		return nil, errors.NotFoundf("site %s", site)
	}
	room, load := map[sites.Key]int{}, map[string]int{}
	for _, a := range page.Accounts {
		room[sites.Key{Service: a.Service, Site: a.Site}] = sites.SpareCapacity(a.Capacity, a.Own) - a.Remote + a.RemoteBySite[site]
		load[a.Service] += a.RemoteBySite[site]
		if a.Site == site {
			load[a.Service] += a.Own
		}
	}
	for _, service := range slices.Sorted(maps.Keys(load)) {
		left := load[service]
		for _, to := range tree.FailoverOrder(site) {
			if part := min(left, room[sites.Key{Service: service, Site: to}]); part > 0 {
				out, left = append(out, Passage{Service: service, To: to, Load: part}), left-part
			}
		}
		if left > 0 {
			out = append(out, Passage{Service: service, Load: left, IsLeft: true})
		}
	}
	return out, nil
}

// rebuild lays the tree of a page anew.
func rebuild(all []sites.Site) (*sites.Tree, error) {
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
		passages, err := Without(page, *c.without)
		if err != nil {
			return ExitError, err
		}
		status, rows := ExitClean, [][]string{{"SERVICE", "TO", "LOAD"}}
		for _, p := range passages {
			to := p.To
			if p.IsLeft {
				status, to = ExitFindings, "(no room)"
			}
			rows = append(rows, []string{p.Service, to, strconv.Itoa(p.Load)})
		}
		c.print(append([]Passage{}, passages...), rows)
		return status, nil
	}
	rows := [][]string{{"SITE", "PARENT", "SERVICE", "CAPACITY", "OWN", "PASSED", "GRANTED", "FROM"}}
	for _, a := range page.Accounts {
		from := ""
		for _, site := range slices.Sorted(maps.Keys(a.RemoteBySite)) {
			from += fmt.Sprintf("%s:%d ", site, a.RemoteBySite[site])
		}
		rows = append(rows, []string{a.Site, a.Parent, a.Service, strconv.Itoa(a.Capacity), strconv.Itoa(a.Own), strconv.Itoa(a.Remote), strconv.Itoa(a.Leased), from})
	}
	c.print(page, rows)
	return ExitClean, nil
}
