package branchline

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ploverhitch/internal/clock"
)

// Use is what one node has under way at one site's servers of a service.
type Use struct {
	Service string `cbor:"1,keyasint"`
	// Site is where the servers are; empty where there was none with room.
	Site   string `cbor:"2,keyasint,omitempty"`
	AtWork int    `cbor:"3,keyasint,omitempty"`
	// Wanted is how many more places it could use, if Site is empty.
	Wanted int `cbor:"4,keyasint,omitempty"`
}

// Lot is how much of another site's room a node may use; a grant with a due.
type Lot struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	Site    string `cbor:"2,keyasint" json:"Site"`
	Slots   int    `cbor:"3,keyasint" json:"Slots"`
}

// Key names a service at a site.
type Key struct{ Service, Site string }

// GrantSpan is how long a lot may be used, counted by the node from when it sent
// its report.
const GrantSpan = 1500 * time.Millisecond

const (
	// spanMargin is by how much longer the office counts a lot as given.
	spanMargin = 300 * time.Millisecond
	// roomPart is the part of a site's capacity that may be counted on.
	roomPart = 0.95
	// ownSpread is how many roots of its own load a site keeps free for itself:
	// that load comes unevenly, and is known only as of the last reports.
	ownSpread = 2.5
	// spareRoom is by how much more a node that passes callers on is given than
	// it has under way: its inquiries do not come evenly.
	spareRoom = 1.4
	// freshSpan is how old a report may be to count.
	freshSpan = 4 * time.Second
)

type tenant struct {
	site string
	at   clock.Instant
	uses map[Key]int
	lots map[Key]int
	due  clock.Instant
}

// Office gives out the room of the sites. It belongs to the holder of the duty
// and has one owner. The sum of all lots that may still be used, and of what a
// site's own callers have under way there, never exceeds the site's room.
type Office struct {
	clock    clock.Clock
	tree     *Tree
	opens    clock.Instant
	capacity map[Key]int
	tenants  map[string]*tenant
}

// NewOffice makes an office that gives nothing until the lots of the one before
// it have lapsed.
//
// Example:
//
//	office := branchline.NewOffice(tree, clock)
func NewOffice(tree *Tree, timeSource clock.Clock) *Office {
	return &Office{
		clock: timeSource, tree: tree, opens: timeSource.Monotonic() + clock.Instant(GrantSpan+spanMargin),
		capacity: map[Key]int{}, tenants: map[string]*tenant{},
	}
}

// Lay tells the office the tree and what the ready servers declare by now.
//
// Example:
//
//	office.Lay(tree, map[branchline.Key]int{{"fees", "tvm-b"}: 84})
func (o *Office) Lay(tree *Tree, declared map[Key]int) {
	o.tree, o.capacity = tree, map[Key]int{}
	for key, slots := range declared {
		o.capacity[key] = tree.Limit(key.Site, key.Service, slots)
	}
}

// Hear takes what a node has under way and wants, and returns its lots.
//
// Example:
//
//	lots := office.Hear("edge-1", "tvm-a", report.Uses)
func (o *Office) Hear(node, site string, uses []Use) (lots []Lot) {
	now := o.clock.Monotonic()
	t := o.tenants[node]
	if t == nil {
		t = &tenant{}
		o.tenants[node] = t
	}
	t.site, t.at, t.uses, t.lots, t.due = site, now, map[Key]int{}, nil, 0
	wanted := map[string]int{}
	for _, use := range uses {
		if use.Site == "" {
			wanted[use.Service] += use.Wanted
			continue
		}
		t.uses[Key{use.Service, use.Site}] += use.AtWork
		if use.Site != site {
			wanted[use.Service] += use.AtWork
		}
	}
	for service, count := range wanted {
		wanted[service] = int(math.Ceil(spareRoom*float64(count))) + 1
	}
	if now < o.opens {
		return nil
	}
	t.lots, t.due = map[Key]int{}, now+clock.Instant(GrantSpan+spanMargin)
	services := map[string]bool{}
	for key := range o.capacity {
		services[key.Service] = true
	}
	way := o.tree.Way(site)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for _, other := range way {
			key := Key{service, other}
			free := o.free(key, node)
			slots := max(0, min(free, wanted[service]))
			if slots == 0 && free > room(o.capacity[key], 0)/2 {
				// One place to go on with, should the site drop out.
				slots = 1
			}
			if slots > 0 {
				t.lots[key] = slots
				lots = append(lots, Lot{service, other, slots})
				wanted[service] -= slots
			}
		}
	}
	return lots
}

// free is the room that is left at a site for a node, besides all others.
func (o *Office) free(key Key, node string) int {
	now, own, taken := o.clock.Monotonic(), 0, 0
	for name, t := range o.tenants {
		switch {
		case now-t.at > clock.Instant(freshSpan):
			delete(o.tenants, name)
		case t.site == key.Site:
			own += t.uses[key]
		case name != node:
			if now < t.due {
				taken += max(t.uses[key], t.lots[key])
			} else {
				taken += t.uses[key]
			}
		}
	}
	return room(o.capacity[key], own) - taken
}

func room(capacity, own int) int {
	spread := int(math.Ceil(ownSpread * math.Sqrt(float64(own))))
	return int(roomPart*float64(capacity)) - own - spread
}

// Room is what others may use of a site with so much capacity and own load.
//
// Example:
//
//	room := branchline.Room(40, 16)
func Room(capacity, own int) int { return max(0, room(capacity, own)) }

// Account is what stands of one site and service, for operators to read.
type Account struct {
	Site     string `json:"Site"`
	Parent   string `json:"Parent"`
	Service  string `json:"Service"`
	Capacity int    `json:"Capacity"`
	// Own and Passed are under way there: from the site itself, and from
	// others; Granted is what others may use.
	Own     int `json:"Own"`
	Passed  int `json:"Passed"`
	Granted int `json:"Granted"`
	// From names the sites whose callers are passed here, with how many.
	From map[string]int `json:"From,omitempty"`
}

// Accounts lists what stands, by site and service.
//
// Example:
//
//	for _, account := range office.Accounts() { print(account.Site, account.Own) }
func (o *Office) Accounts() (out []Account) {
	now := o.clock.Monotonic()
	for key, capacity := range o.capacity {
		a := Account{Site: key.Site, Parent: o.tree.sites[key.Site].Parent, Service: key.Service, Capacity: capacity, From: map[string]int{}}
		for _, t := range o.tenants {
			if t.site == key.Site {
				a.Own += t.uses[key]
				continue
			}
			if a.Passed += t.uses[key]; t.uses[key] > 0 {
				a.From[t.site] += t.uses[key]
			}
			if now < t.due {
				a.Granted += t.lots[key]
			}
		}
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, z Account) int {
		return cmp.Or(cmp.Compare(a.Site, z.Site), cmp.Compare(a.Service, z.Service))
	})
	return out
}
