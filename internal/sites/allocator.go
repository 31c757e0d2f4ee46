package sites

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ploverhitch/internal/timetable"
)

// Use is what one node has under way at one site's servers of a service.
type Usage struct {
	Service string `cbor:"1,keyasint"`
	// Site is where the servers are; empty where there was none with room.
	Site     string `cbor:"2,keyasint,omitempty"`
	InFlight int    `cbor:"3,keyasint,omitempty"`
	// Wanted is how many more places it could use, if Site is empty.
	Wanted int `cbor:"4,keyasint,omitempty"`
}

// Lot is how much of another site's room a node may use; a grant with a due.
type Lease struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	Site    string `cbor:"2,keyasint" json:"Site"`
	Slots   int    `cbor:"3,keyasint" json:"Slots"`
}

// Key names a service at a site.
type Key struct{ Service, Site string }

// GrantSpan is how long a lot may be used, counted by the node from when it sent
// its report.
const LeaseDuration = 1500 * time.Millisecond

const (
	// spanMargin is by how much longer the office counts a lot as given.
	leaseMargin = 300 * time.Millisecond
	// roomPart is the part of a site's capacity that may be counted on.
	usableCapacity = 0.95
	// ownSpread is how many roots of its own load a site keeps free for itself:
	// that load comes unevenly, and is known only as of the last reports.
	ownLoadDeviations = 2.5
	// spareRoom is by how much more a node that passes callers on is given than
	// it has under way: its inquiries do not come evenly.
	demandFactor = 1.4
	// freshSpan is how old a report may be to count.
	reportTimeout = 4 * time.Second
)

type nodeState struct {
	site       string
	reportedAt timetable.Steady
	inFlight   map[Key]int
	leases     map[Key]int
	expiresAt  timetable.Steady
}

// Office gives out the room of the sites. It belongs to the holder of the duty
// and has one owner. The sum of all lots that may still be used, and of what a
// site's own callers have under way there, never exceeds the site's room.
type Allocator struct {
	clock      timetable.Clock
	tree       *Tree
	grantsFrom timetable.Steady
	capacity   map[Key]int
	nodes      map[string]*nodeState
}

// NewOffice makes an office that gives nothing until the lots of the one before
// it have lapsed.
func NewAllocator(tree *Tree, clock timetable.Clock) *Allocator {
	return &Allocator{
		clock: clock, tree: tree, grantsFrom: clock.Steady() + timetable.Steady(LeaseDuration+leaseMargin),
		capacity: map[Key]int{}, nodes: map[string]*nodeState{},
	}
}

// Lay tells the office the tree and what the ready servers declare by now.
func (a *Allocator) Update(tree *Tree, declared map[Key]int) {
	a.tree, a.capacity = tree, map[Key]int{}
	for key, slots := range declared {
		a.capacity[key] = tree.EffectiveCapacity(key.Site, key.Service, slots)
	}
}

// Hear takes what a node has under way and wants, and returns its lots.
func (a *Allocator) HandleReport(node, site string, usages []Usage) (leases []Lease) {
	now := a.clock.Steady()
	state := a.nodes[node]
	if state == nil {
		state = &nodeState{}
		a.nodes[node] = state
	}
	state.site, state.reportedAt, state.inFlight, state.leases, state.expiresAt = site, now, map[Key]int{}, nil, 0
	wanted := map[string]int{}
	for _, usage := range usages {
		if usage.Site == "" {
			wanted[usage.Service] += usage.Wanted
			continue
		}
		state.inFlight[Key{usage.Service, usage.Site}] += usage.InFlight
		if usage.Site != site {
			wanted[usage.Service] += usage.InFlight
		}
	}
	for service, count := range wanted {
		wanted[service] = int(math.Ceil(demandFactor*float64(count))) + 1
	}
	if now < a.grantsFrom {
		return nil
	}
	state.leases, state.expiresAt = map[Key]int{}, now+timetable.Steady(LeaseDuration+leaseMargin)
	services := map[string]bool{}
	for key := range a.capacity {
		services[key.Service] = true
	}
	failoverOrder := a.tree.FailoverOrder(site)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for _, otherSite := range failoverOrder {
			key := Key{service, otherSite}
			free := a.freeSlots(key, node)
			slots := max(0, min(free, wanted[service]))
			if slots == 0 && free > spareCapacity(a.capacity[key], 0)/2 {
				// One place to go on with, should the site drop out.
				slots = 1
			}
			if slots > 0 {
				state.leases[key] = slots
				leases = append(leases, Lease{service, otherSite, slots})
				wanted[service] -= slots
			}
		}
	}
	return leases
}

// free is the room that is left at a site for a node, besides all others.
func (a *Allocator) freeSlots(key Key, node string) int {
	now, ownLoad, reserved := a.clock.Steady(), 0, 0
	for name, state := range a.nodes {
		switch {
		case now-state.reportedAt > timetable.Steady(reportTimeout):
			delete(a.nodes, name)
		case state.site == key.Site:
			ownLoad += state.inFlight[key]
		case name != node:
			if now < state.expiresAt {
				reserved += max(state.inFlight[key], state.leases[key])
			} else {
				reserved += state.inFlight[key]
			}
		}
	}
	return spareCapacity(a.capacity[key], ownLoad) - reserved
}

func spareCapacity(capacity, ownLoad int) int {
	headroom := int(math.Ceil(ownLoadDeviations * math.Sqrt(float64(ownLoad))))
	return int(usableCapacity*float64(capacity)) - ownLoad - headroom
}

// Room is what others may use of a site with so much capacity and own load.
func SpareCapacity(capacity, ownLoad int) int { return max(0, spareCapacity(capacity, ownLoad)) }

// Account is what stands of one site and service, for operators to read.
type Status struct {
	Site     string `json:"Site"`
	Parent   string `json:"Parent"`
	Service  string `json:"Service"`
	Capacity int    `json:"Capacity"`
	// Own and Passed are under way there: from the site itself, and from
	// others; Granted is what others may use.
	Own    int `json:"Own"`
	Remote int `json:"Passed"`
	Leased int `json:"Granted"`
	// From names the sites whose callers are passed here, with how many.
	RemoteBySite map[string]int `json:"From,omitempty"`
}

// Accounts lists what stands, by site and service.
func (a *Allocator) Statuses() (statuses []Status) {
	now := a.clock.Steady()
	for key, capacity := range a.capacity {
		status := Status{Site: key.Site, Parent: a.tree.sites[key.Site].Parent, Service: key.Service, Capacity: capacity, RemoteBySite: map[string]int{}}
		for _, state := range a.nodes {
			if state.site == key.Site {
				status.Own += state.inFlight[key]
				continue
			}
			if status.Remote += state.inFlight[key]; state.inFlight[key] > 0 {
				status.RemoteBySite[state.site] += state.inFlight[key]
			}
			if now < state.expiresAt {
				status.Leased += state.leases[key]
			}
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(status, other Status) int {
		return cmp.Or(cmp.Compare(status.Site, other.Site), cmp.Compare(status.Service, other.Service))
	})
	return statuses
}
