// Package sites holds the hierarchy of sites and sends requests to other sites up the
// hierarchy when a site fails, never more than these have spare capacity for.
package sites

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Root is the name of the site at the top of the hierarchy.
const Root = "whole"

// Site is one site of the hierarchy, as declared by an operator.
type Site struct {
	Name   string `json:"Name"`
	Parent string `json:"Parent"`
	// Zones and Servers belong to the site directly.
	Zones   []string `json:"Zones,omitempty"`
	Servers []string `json:"Servers,omitempty"`
	// Capacity limits, by service, the load of the site where that is less than what
	// its servers declare.
	Capacity map[string]int `json:"Capacity,omitempty"`
}

// Tree is the immutable hierarchy of all sites.
type Tree struct {
	sites        map[string]Site
	children     map[string][]string
	siteByZone   map[string]string
	siteByServer map[string]string
}

// Build builds the tree of the platform's zones under their regions and of the sites
// that the operator declares. The error for an invalid declaration names the site.
func Build(regions map[string]string, sites []Site) (*Tree, error) {
	t := &Tree{sites: map[string]Site{Root: {Name: Root}}, children: map[string][]string{}, siteByZone: map[string]string{}, siteByServer: map[string]string{}}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		region := regions[zone]
		if region == "" || region == zone {
			region = Root
		} else if _, known := t.sites[region]; !known {
			t.sites[region] = Site{Name: region, Parent: Root}
		}
		t.sites[zone] = Site{Name: zone, Parent: region}
		t.siteByZone[zone] = zone
	}
	declared := map[string]bool{}
	for _, site := range sites {
		switch {
		case site.Name == "" || site.Name == Root:
			return nil, errors.NotValidf("site name %q", site.Name)
		case declared[site.Name]:
			return nil, errors.NotValidf("site %s, which is declared twice,", site.Name)
		}
		declared[site.Name] = true
		if site.Parent == "" {
			site.Parent = Root
		}
		for service, capacity := range site.Capacity {
			if capacity < 0 {
				return nil, errors.NotValidf("site %s: capacity %d for %s", site.Name, capacity, service)
			}
		}
		t.sites[site.Name] = site
	}
	if err := t.assignMembers(sites); err != nil {
		return nil, err
	}
	return t, t.linkChildren()
}

// assignMembers assigns zones and servers to the declared sites.
func (t *Tree) assignMembers(sites []Site) error {
	siteByZone := map[string]string{}
	for _, site := range sites {
		for _, server := range site.Servers {
			if other, taken := t.siteByServer[server]; taken {
				return errors.NotValidf("server %s, which belongs to %s and %s,", server, other, site.Name)
			}
			t.siteByServer[server] = site.Name
		}
		for _, zone := range site.Zones {
			if other, taken := siteByZone[zone]; taken {
				return errors.NotValidf("zone %s, which belongs to %s and %s,", zone, other, site.Name)
			}
			siteByZone[zone], t.siteByZone[zone] = site.Name, site.Name
		}
	}
	return nil
}

// linkChildren checks that every site descends from the root, and fills children.
func (t *Tree) linkChildren() error {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		ancestor := name
		for steps := 0; ancestor != Root; steps++ {
			site, known := t.sites[ancestor]
			if !known {
				return errors.NotValidf("site %s: unknown parent %s", name, ancestor)
			}
			if steps > len(t.sites) {
				return errors.NotValidf("site %s, whose parents form a cycle,", name)
			}
			ancestor = site.Parent
		}
		if name != Root {
			t.children[t.sites[name].Parent] = append(t.children[t.sites[name].Parent], name)
		}
	}
	return nil
}

// SiteOf returns the site of a server, or with an empty server ID the site of a zone.
func (t *Tree) SiteOf(server, zone string) string {
	if site, known := t.siteByServer[server]; known {
		return site
	}
	if site, known := t.siteByZone[zone]; known {
		return site
	}
	return Root
}

// Sites returns the sites in the order of their names.
func (t *Tree) Sites() (list []Site) {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		list = append(list, t.sites[name])
	}
	return list
}

// FailoverOrder returns the order in which other sites receive a site's requests: its
// parent, the parent's other children with all their descendants, then further up in
// the same way.
func (t *Tree) FailoverOrder(from string) (order []string) {
	seen := map[string]bool{from: true}
	var appendSubtree func(site string)
	appendSubtree = func(site string) {
		if !seen[site] {
			seen[site] = true
			order = append(order, site)
		}
		for _, child := range t.children[site] {
			if child != from {
				appendSubtree(child)
			}
		}
	}
	for ancestor := from; ancestor != Root; {
		ancestor = t.sites[ancestor].Parent
		appendSubtree(ancestor)
	}
	return order
}

// EffectiveCapacity returns the capacity of a site, given what its servers declare.
func (t *Tree) EffectiveCapacity(site, service string, declared int) int {
	if limit, limited := t.sites[site].Capacity[service]; limited {
		return min(limit, declared)
	}
	return declared
}
