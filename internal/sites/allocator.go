package sites

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ploverhitch/internal/clock"
)

// Usage is what one node uses of a service at one site, or lacks.
type Usage struct {
	Service string `cbor:"1,keyasint"`
	// Site is the site of the servers, or empty for requests that found no slot.
	Site     string `cbor:"2,keyasint,omitempty"`
	InFlight int    `cbor:"3,keyasint,omitempty"`
	// Average and Peak are the requests in flight on average and at most since the previous
	// report. Nodes of older builds don't report them.
	Average float64 `cbor:"5,keyasint,omitempty"`
	Peak    int     `cbor:"6,keyasint,omitempty"`
	// Wanted is the number of further slots the node could use, if Site is empty.
	Wanted int `cbor:"4,keyasint,omitempty"`
}

// Lease allows a node to use slots at another site until the lease expires.
type Lease struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	Site    string `cbor:"2,keyasint" json:"Site"`
	Slots   int    `cbor:"3,keyasint" json:"Slots"`
}

// Key identifies a service at a site.
type Key struct{ Service, Site string }

// LeaseDuration is how long a lease is valid, counted by the node from when it sent the
// report.
const LeaseDuration = 1500 * time.Millisecond

const (
	// leaseMargin is how much longer the allocator counts a lease as valid.
	leaseMargin = 300 * time.Millisecond
	// usableCapacity is the share of a site's capacity that may be relied on.
	usableCapacity = 0.95
	// ownLoadDeviations is how many square roots of its own load a site keeps free for
	// itself: its own load varies and is known only as of the last reports.
	ownLoadDeviations = 2.5
	// demandFactor is how many more slots a node is granted than it uses and lacks at
	// other sites, as its requests do not arrive evenly.
	demandFactor = 1.4
	// reportTimeout is the age up to which a report counts.
	reportTimeout = 4 * time.Second
)

// nodeState is the last report of a node and the leases granted in reply.
type nodeState struct {
	site       string
	reportedAt clock.Instant
	inFlight   map[Key]int
	averages   map[Key]float64
	peaks      map[Key]int
	leases     map[Key]int
	expiresAt  clock.Instant
}

// Allocator leases spare capacity of the sites to nodes at other sites. It runs at the
// leader and is not safe for concurrent use. The sum of all unexpired leases and
// of the site's own requests in flight never exceeds the usable capacity of a site.
type Allocator struct {
	clock clock.Clock
	tree  *Tree
	// grantsFrom is when the leases of the previous allocator have expired.
	grantsFrom clock.Instant
	capacity   map[Key]int
	nodes      map[string]*nodeState
}

// NewAllocator returns an allocator that grants nothing until the leases of its
// predecessor have expired.
func NewAllocator(tree *Tree, timeSource clock.Clock) *Allocator {
	return &Allocator{
		clock: timeSource, tree: tree, grantsFrom: timeSource.Monotonic() + clock.Instant(LeaseDuration+leaseMargin),
		capacity: map[Key]int{}, nodes: map[string]*nodeState{},
	}
}

// Update sets the tree and the capacity that the ready servers declare.
func (a *Allocator) Update(tree *Tree, declared map[Key]int) {
	a.tree, a.capacity = tree, map[Key]int{}
	for key, slots := range declared {
		a.capacity[key] = tree.EffectiveCapacity(key.Site, key.Service, slots)
	}
}

// HandleReport records what a node uses and lacks, and returns its new leases.
func (a *Allocator) HandleReport(node, site string, usages []Usage) (leases []Lease) {
	now := a.clock.Monotonic()
	state := a.nodes[node]
	if state == nil {
		state = &nodeState{}
		a.nodes[node] = state
	}
	*state = nodeState{site: site, reportedAt: now, inFlight: map[Key]int{}, averages: map[Key]float64{}, peaks: map[Key]int{}}
	wanted := map[string]int{}
	for _, usage := range usages {
		if usage.Site == "" {
			wanted[usage.Service] += usage.Wanted
			continue
		}
		key := Key{usage.Service, usage.Site}
		state.inFlight[key] += usage.InFlight
		state.averages[key] += usage.Average
		state.peaks[key] += usage.Peak
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
	state.leases, state.expiresAt = map[Key]int{}, now+clock.Instant(LeaseDuration+leaseMargin)
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
				// One slot to start with if the node's site fails.
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

// load returns the node's average requests in flight or, if it reports none, those at its
// last report.
func (s *nodeState) load(key Key) float64 {
	if average := s.averages[key]; average > 0 {
		return average
	}
	return float64(s.inFlight[key])
}

// freeSlots returns the slots at a site that are left for a node beside all others. The
// requests in flight at the last reports are a sample, taken when the site may have been
// idle for a moment: its average load, and the peak of each of its nodes, count as well.
func (a *Allocator) freeSlots(key Key, node string) int {
	now, reserved := a.clock.Monotonic(), 0
	ownLoad, ownPeak := 0.0, 0
	for name, state := range a.nodes {
		switch {
		case now-state.reportedAt > clock.Instant(reportTimeout):
			delete(a.nodes, name)
		case state.site == key.Site:
			ownLoad += state.load(key)
			ownPeak = max(ownPeak, state.peaks[key])
		case name != node:
			if now < state.expiresAt {
				reserved += max(state.inFlight[key], state.leases[key])
			} else {
				reserved += state.inFlight[key]
			}
		}
	}
	return min(spareCapacity(a.capacity[key], int(math.Round(ownLoad))), usableSlots(a.capacity[key])-ownPeak) - reserved
}

// spareCapacity returns the usable capacity that a site's own load and its variation
// leave to other sites. It may be negative.
func spareCapacity(capacity, ownLoad int) int {
	headroom := int(math.Ceil(ownLoadDeviations * math.Sqrt(float64(ownLoad))))
	return usableSlots(capacity) - ownLoad - headroom
}

// usableSlots returns the slots of a capacity that may be relied on.
func usableSlots(capacity int) int { return int(usableCapacity * float64(capacity)) }

// SpareCapacity returns how many slots of a site with the given capacity and own load
// may be leased to other sites.
func SpareCapacity(capacity, ownLoad int) int { return max(0, spareCapacity(capacity, ownLoad)) }

// Status is the state of one service at one site, for operators.
type Status struct {
	Site     string `json:"Site"`
	Parent   string `json:"Parent"`
	Service  string `json:"Service"`
	Capacity int    `json:"Capacity"`
	// Own and Remote are the requests in flight from the site itself and from other
	// sites; Leased is the number of slots that other sites may use.
	Own    int `json:"Own"`
	Remote int `json:"Passed"`
	Leased int `json:"Granted"`
	// RemoteBySite splits Remote by the sites that the requests come from.
	RemoteBySite map[string]int `json:"From,omitempty"`
}

// Statuses returns the state of all sites and services, in the order of their names.
func (a *Allocator) Statuses() (statuses []Status) {
	now := a.clock.Monotonic()
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
