package balancer

import (
	"slices"
	"sort"
)

// stand is the ready servers of one service.
type serviceEndpoints struct {
	all []*Endpoint
	// ring is of those that the node keeps to: near and far.
	ring ring
	// near and far are the servers of the own cell and of the others to which
	// the node keeps where no ring decides: few enough that its connections to
	// them are used again, and others than those of the next node.
	local, remote []*Endpoint
	// most is the most capacity that near ever had.
	peakLocalCapacity int
}

// nearPart is the part of the set that is of the own cell, if it has so many.
const localSubsetShare = 2.0 / 3

// change is the stand with another list; what did not change stays.
func (s *serviceEndpoints) withEndpoints(endpoints []*Endpoint, locality Locality) *serviceEndpoints {
	if s == nil {
		s = noEndpoints
	}
	if slices.Equal(s.all, endpoints) {
		return s
	}
	next := &serviceEndpoints{all: endpoints}
	rank := map[string]RingPosition{}
	for _, endpoint := range endpoints {
		rank[endpoint.ID] = RingPositionOf(locality.Node, endpoint.ID)
		if endpoint.Cell == locality.Zone {
			next.local = append(next.local, endpoint)
		} else {
			next.remote = append(next.remote, endpoint)
		}
	}
	if locality.SubsetSize > 0 && len(endpoints) > locality.SubsetSize {
		next.limitSubset(locality, rank)
	}
	next.ring = s.ring.withEndpoints(s.subset(), next.subset())
	next.peakLocalCapacity = max(s.peakLocalCapacity, totalCapacity(next.local))
	return next
}

// kept are the servers that the node keeps to.
func (s *serviceEndpoints) subset() []*Endpoint { return slices.Concat(s.local, s.remote) }

func totalCapacity(endpoints []*Endpoint) (sum int) {
	for _, endpoint := range endpoints {
		sum += endpoint.Capacity
	}
	return sum
}

// keep leaves the servers that the node keeps to.
func (s *serviceEndpoints) limitSubset(locality Locality, rank map[string]RingPosition) {
	for _, endpoints := range [][]*Endpoint{s.local, s.remote} {
		sort.Slice(endpoints, func(i, j int) bool { return rank[endpoints[i].ID] < rank[endpoints[j].ID] })
	}
	localSize := min(len(s.local), max(int(float64(locality.SubsetSize)*localSubsetShare), locality.SubsetSize-len(s.remote)))
	s.local, s.remote = s.local[:localSize], s.remote[:min(len(s.remote), locality.SubsetSize-localSize)]
}

// fallenPart is the part of its capacity with which a site counts as fallen.
const degradedShare = 0.5

// IsSound tells whether the server is neither set aside nor failed when it was
// last asked.
//
// Example:
//
//	if !siding.IsSound() { passOn() }
func (e *Endpoint) Healthy() bool {
	return e.failures.Load() == 0 && !e.ejected.Load() && !e.misdirected.Load()
}

// IsFallen tells whether the node's own cell has lost most of a service: few of
// its servers are left that are ready and did not fail when last asked.
//
// Example:
//
//	if yard.IsFallen(service) { passUp() }
func (s *ServerSet) LocalZoneDegraded(service string) bool {
	endpoints, healthyCapacity := s.service(service), 0
	for _, endpoint := range endpoints.local {
		if endpoint.Healthy() {
			healthyCapacity += endpoint.Capacity
		}
	}
	return endpoints.peakLocalCapacity > 0 && float64(healthyCapacity) <= degradedShare*float64(endpoints.peakLocalCapacity)
}

// change is the ring of another list, made from this one's.
func (r ring) withEndpoints(previous, endpoints []*Endpoint) ring {
	onRing, byID := map[string]bool{}, map[string]*Endpoint{}
	for _, endpoint := range previous {
		onRing[endpoint.ID] = true
	}
	var added []*Endpoint
	for _, endpoint := range endpoints {
		if byID[endpoint.ID] = endpoint; !onRing[endpoint.ID] {
			added = append(added, endpoint)
		}
	}
	addedNodes := newRing(added)
	merged := make(ring, 0, len(endpoints)*virtualNodesPerServer)
	for _, node := range r {
		if node.endpoint = byID[node.endpoint.ID]; node.endpoint == nil {
			continue
		}
		for len(addedNodes) > 0 && addedNodes[0].before(node) {
			merged, addedNodes = append(merged, addedNodes[0]), addedNodes[1:]
		}
		merged = append(merged, node)
	}
	return append(merged, addedNodes...)
}
