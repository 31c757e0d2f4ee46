// Package sites knows the hierarchy of sites and passes callers up it when
// a site drops out: never more to another site than that one has room for.
package sites

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Whole is the site at the top.
const Root = "whole"

// Site is one place in the hierarchy, as an operator may name it.
type Site struct {
	Name   string `json:"Name"`
	Parent string `json:"Parent"`
	// Cells and Servers are what belongs to the site itself.
	Zones   []string `json:"Zones,omitempty"`
	Servers []string `json:"Servers,omitempty"`
	// Capacity is, by service, what the site may be loaded with, where that is
	// less than its servers declare.
	Capacity map[string]int `json:"Capacity,omitempty"`
}

// Tree is the sites under one top; it never changes once built.
type Tree struct {
	sites        map[string]Site
	children     map[string][]string
	siteByZone   map[string]string
	siteByServer map[string]string
}

// Build lays the tree: the platform's cells under their regions, and what the
// operator says of them or adds. What does not fit is refused by name.
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
			return nil, errors.NotValidf("site %s, which is there twice,", site.Name)
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

// claim lays down what belongs to whom.
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
				return errors.NotValidf("cell %s, which belongs to %s and %s,", zone, other, site.Name)
			}
			siteByZone[zone], t.siteByZone[zone] = site.Name, site.Name
		}
	}
	return nil
}

func (t *Tree) linkChildren() error {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		ancestor := name
		for steps := 0; ancestor != Root; steps++ {
			site, known := t.sites[ancestor]
			if !known {
				return errors.NotValidf("site %s: unknown parent %s", name, ancestor)
			}
			if steps > len(t.sites) {
				return errors.NotValidf("site %s, which is its own parent in the end,", name)
			}
			ancestor = site.Parent
		}
		if name != Root {
			t.children[t.sites[name].Parent] = append(t.children[t.sites[name].Parent], name)
		}
	}
	return nil
}

// SiteOf is the site of a server, or of a node without one (an empty id).
func (t *Tree) SiteOf(server, zone string) string {
	if site, known := t.siteByServer[server]; known {
		return site
	}
	if site, known := t.siteByZone[zone]; known {
		return site
	}
	return Root
}

// Sites lists the sites by name.
func (t *Tree) Sites() (list []Site) {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		list = append(list, t.sites[name])
	}
	return list
}

// Way is the order in which a site's callers are passed on: to its parent, to
// the parent's other children and all under them, and then further up.
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

// Limit is what a site may be loaded with, given what its servers declare.
func (t *Tree) EffectiveCapacity(site, service string, declared int) int {
	if limit, limited := t.sites[site].Capacity[service]; limited {
		return min(limit, declared)
	}
	return declared
}
