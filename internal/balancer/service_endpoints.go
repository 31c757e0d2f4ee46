package balancer

import (
	"slices"
	"sort"
)

// serviceEndpoints holds the ready servers of one service.
type serviceEndpoints struct {
	all []*Endpoint
	// ring holds the node's subset: local and remote.
	ring ring
	// local and remote are the servers in the local zone and in other zones that form
	// the node's subset. The subset is small enough that connections are reused, and
	// differs from node to node.
	local, remote []*Endpoint
	// peakLocalCapacity is the highest capacity that local ever had.
	peakLocalCapacity int
}

// localSubsetShare is the share of the subset that is in the local zone, if the zone
// has enough servers.
const localSubsetShare = 2.0 / 3

// withEndpoints returns the state for the new list of endpoints, reusing unchanged
// parts of s.
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
		if endpoint.Zone == locality.Zone {
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

// subset returns the servers that the node uses.
func (s *serviceEndpoints) subset() []*Endpoint { return slices.Concat(s.local, s.remote) }

func totalCapacity(endpoints []*Endpoint) (sum int) {
	for _, endpoint := range endpoints {
		sum += endpoint.Capacity
	}
	return sum
}

// limitSubset reduces local and remote to the servers that the node uses, in the order
// of rank.
func (s *serviceEndpoints) limitSubset(locality Locality, rank map[string]RingPosition) {
	for _, endpoints := range [][]*Endpoint{s.local, s.remote} {
		sort.Slice(endpoints, func(i, j int) bool { return rank[endpoints[i].ID] < rank[endpoints[j].ID] })
	}
	localSize := min(len(s.local), max(int(float64(locality.SubsetSize)*localSubsetShare), locality.SubsetSize-len(s.remote)))
	s.local, s.remote = s.local[:localSize], s.remote[:min(len(s.remote), locality.SubsetSize-localSize)]
}

// degradedShare is the share of its peak capacity at or below which a zone counts as
// degraded.
const degradedShare = 0.5

// Healthy reports whether the server is not ejected, not misdirected and did not fail
// its last attempt.
func (e *Endpoint) Healthy() bool {
	return e.failures.Load() == 0 && !e.ejected.Load() && !e.misdirected.Load()
}

// LocalZoneDegraded reports whether the local zone has lost most of the service's
// capacity, counting only ready servers that did not fail their last attempt.
// Overloaded servers count as healthy.
func (s *ServerSet) LocalZoneDegraded(service string) bool {
	endpoints, healthyCapacity := s.service(service), 0
	for _, endpoint := range endpoints.local {
		if endpoint.Healthy() {
			healthyCapacity += endpoint.Capacity
		}
	}
	return endpoints.peakLocalCapacity > 0 && float64(healthyCapacity) <= degradedShare*float64(endpoints.peakLocalCapacity)
}

// withEndpoints returns the ring of another list of endpoints, merged from r and the
// virtual nodes of the added endpoints.
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
