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
	sites    map[string]Site
	children map[string][]string
	ofCell   map[string]string
	ofServer map[string]string
}

// Build lays the tree: the platform's cells under their regions, and what the
// operator says of them or adds. What does not fit is refused by name.
func Build(cells map[string]string, sites []Site) (*Tree, error) {
	t := &Tree{sites: map[string]Site{Root: {Name: Root}}, children: map[string][]string{}, ofCell: map[string]string{}, ofServer: map[string]string{}}
	for _, cell := range slices.Sorted(maps.Keys(cells)) {
		region := cells[cell]
		if region == "" || region == cell {
			region = Root
		} else if _, isKnown := t.sites[region]; !isKnown {
			t.sites[region] = Site{Name: region, Parent: Root}
		}
		t.sites[cell] = Site{Name: cell, Parent: region}
		t.ofCell[cell] = cell
	}
	said := map[string]bool{}
	for _, site := range sites {
		switch {
		case site.Name == "" || site.Name == Root:
			return nil, errors.NotValidf("site name %q", site.Name)
		case said[site.Name]:
			return nil, errors.NotValidf("site %s, which is there twice,", site.Name)
		}
		said[site.Name] = true
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
	if err := t.claim(sites); err != nil {
		return nil, err
	}
	return t, t.check()
}

// claim lays down what belongs to whom.
func (t *Tree) claim(sites []Site) error {
	cells := map[string]string{}
	for _, site := range sites {
		for _, server := range site.Servers {
			if other, isTaken := t.ofServer[server]; isTaken {
				return errors.NotValidf("server %s, which belongs to %s and %s,", server, other, site.Name)
			}
			t.ofServer[server] = site.Name
		}
		for _, cell := range site.Zones {
			if other, isTaken := cells[cell]; isTaken {
				return errors.NotValidf("cell %s, which belongs to %s and %s,", cell, other, site.Name)
			}
			cells[cell], t.ofCell[cell] = site.Name, site.Name
		}
	}
	return nil
}

func (t *Tree) check() error {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		at := name
		for steps := 0; at != Root; steps++ {
			site, isKnown := t.sites[at]
			if !isKnown {
				return errors.NotValidf("site %s: unknown parent %s", name, at)
			}
			if steps > len(t.sites) {
				return errors.NotValidf("site %s, which is its own parent in the end,", name)
			}
			at = site.Parent
		}
		if name != Root {
			t.children[t.sites[name].Parent] = append(t.children[t.sites[name].Parent], name)
		}
	}
	return nil
}

// SiteOf is the site of a server, or of a node without one (an empty id).
func (t *Tree) SiteOf(server, cell string) string {
	if site, isKnown := t.ofServer[server]; isKnown {
		return site
	}
	if site, isKnown := t.ofCell[cell]; isKnown {
		return site
	}
	return Root
}

// Sites lists the sites by name.
func (t *Tree) Sites() (out []Site) {
	for _, name := range slices.Sorted(maps.Keys(t.sites)) {
		out = append(out, t.sites[name])
	}
	return out
}

// Way is the order in which a site's callers are passed on: to its parent, to
// the parent's other children and all under them, and then further up.
func (t *Tree) FailoverOrder(from string) (out []string) {
	seen := map[string]bool{from: true}
	var under func(site string)
	under = func(site string) {
		if !seen[site] {
			seen[site] = true
			out = append(out, site)
		}
		for _, child := range t.children[site] {
			if child != from {
				under(child)
			}
		}
	}
	for at := from; at != Root; {
		at = t.sites[at].Parent
		under(at)
	}
	return out
}

// Limit is what a site may be loaded with, given what its servers declare.
func (t *Tree) EffectiveCapacity(site, service string, declared int) int {
	if said, isSaid := t.sites[site].Capacity[service]; isSaid {
		return min(said, declared)
	}
	return declared
}
