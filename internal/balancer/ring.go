package balancer

import (
	"hash/fnv"
	"sort"
	"strconv"
	"strings"
)

// RingPosition is a position on a service's consistent-hash ring.
type RingPosition uint64

// RingPositionOf returns the position of an operation's name: a key within its tenant,
// or a download's path.
func RingPositionOf(parts ...string) RingPosition {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return mix(hash.Sum64())
}

// mix spreads similar hashes over the whole ring.
func mix(h uint64) RingPosition {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return RingPosition(h ^ h>>33)
}

// virtualNode is one of a server's positions on the ring.
type virtualNode struct {
	position RingPosition
	endpoint *Endpoint
}

// ring holds the ready servers of one service, each at several positions derived from
// its instance ID, so that adding or removing a server moves only the adjacent
// operations.
type ring []virtualNode

const virtualNodesPerServer = 48

func newRing(endpoints []*Endpoint) ring {
	r := make(ring, 0, len(endpoints)*virtualNodesPerServer)
	for _, endpoint := range endpoints {
		for n := range virtualNodesPerServer {
			r = append(r, virtualNode{RingPositionOf(endpoint.ID, strconv.Itoa(n)), endpoint})
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].before(r[j]) })
	return r
}

func (v virtualNode) before(other virtualNode) bool {
	return v.position < other.position || v.position == other.position && v.endpoint.ID < other.endpoint.ID
}

// walk visits distinct servers from the position onwards until visit returns false.
func (r ring) walk(from RingPosition, visit func(*Endpoint) bool) {
	start := sort.Search(len(r), func(i int) bool { return r[i].position >= from })
	var seen []*Endpoint
next:
	for i := range r {
		endpoint := r[(start+i)%len(r)].endpoint
		for _, other := range seen {
			if other == endpoint {
				continue next
			}
		}
		seen = append(seen, endpoint)
		if !visit(endpoint) {
			return
		}
	}
}

// HomeServer returns the server that the ring assigns to the operation, or nil. It
// depends on the service's ready servers and, if these exceed the node's subset, on the
// node.
func (s *ServerSet) HomeServer(service string, position RingPosition) (home *Endpoint) {
	s.service(service).ring.walk(position, func(endpoint *Endpoint) bool {
		home = endpoint
		return false
	})
	return home
}

// InstanceIDs returns the instance IDs of the service's ready servers.
func (s *ServerSet) InstanceIDs(service string) (ids []string) {
	for _, endpoint := range s.service(service).all {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

// Change is a change of servers that an operator considers.
type Change struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	// Add lists instances to be added, as ID or ID@ZONE, Retire those to be removed. If
	// the service has more servers than a node's subset, the zone determines which
	// nodes use an added instance.
	Add    []string `cbor:"2,keyasint,omitempty" json:"Add,omitempty"`
	Retire []string `cbor:"3,keyasint,omitempty" json:"Retire,omitempty"`
}

// HomeAfter returns a function that maps positions to the instance IDs of their home
// servers as they would be after the change. The set itself and the state of its
// servers do not change.
func (s *ServerSet) HomeAfter(change Change) (homeOf func(RingPosition) string) {
	var endpoints []*Endpoint
	adding := map[string]bool{}
	for _, text := range change.Add {
		added := &Endpoint{endpointState: &endpointState{}}
		added.ID, added.Zone, _ = strings.Cut(text, "@")
		endpoints, adding[added.ID] = append(endpoints, added), true
	}
	for _, endpoint := range s.service(change.Service).all {
		if !contains(change.Retire, endpoint.ID) && !adding[endpoint.ID] {
			endpoints = append(endpoints, endpoint)
		}
	}
	changed := noEndpoints.withEndpoints(endpoints, s.locality).ring
	return func(position RingPosition) (id string) {
		changed.walk(position, func(endpoint *Endpoint) bool {
			id = endpoint.ID
			return false
		})
		return id
	}
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}
