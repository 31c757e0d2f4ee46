package balancer

import (
	"hash/fnv"
	"sort"
	"strconv"
	"strings"
)

// Place is a place on a service's ring.
type RingPosition uint64

// PlaceOf is the place of an operation's name: a key within its tenant, or a
// download's path.
//
// Example:
//
//	wish.Place = balancer.PlaceOf(tenant, key)
func RingPositionOf(parts ...string) RingPosition {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return mix(hash.Sum64())
}

// mix spreads near hashes over the whole ring.
func mix(h uint64) RingPosition {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return RingPosition(h ^ h>>33)
}

// stop is one of the places at which a server stands on the ring.
type virtualNode struct {
	position RingPosition
	endpoint *Endpoint
}

// ring is the ready servers of one service, each at several places by its
// instance, so that one that comes or goes moves only what is next to it.
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

// walk visits distinct servers from the place on, until visit says no.
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

// Home is the server at which the ring places the operation, or nil. It depends
// on the service's ready servers, and where these are more than the node keeps to,
// on the node.
//
// Example:
//
//	siding := yard.Home("fees", balancer.PlaceOf(tenant, key))
func (s *ServerSet) HomeServer(service string, position RingPosition) (home *Endpoint) {
	s.service(service).ring.walk(position, func(endpoint *Endpoint) bool {
		home = endpoint
		return false
	})
	return home
}

// Names lists the instances on the service's ring.
//
// Example:
//
//	isThere := slices.Contains(yard.Names("fees"), "i-7f3a91c2")
func (s *ServerSet) InstanceIDs(service string) (ids []string) {
	for _, endpoint := range s.service(service).all {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

// Change is a change of servers that an operator is thinking about.
type Change struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	// Add names instances that would come, as ID or ID@CELL, Retire those that
	// would go. Of a service with more servers than a node keeps to, the cell
	// decides which nodes take the new one up.
	Add    []string `cbor:"2,keyasint,omitempty" json:"Add,omitempty"`
	Retire []string `cbor:"3,keyasint,omitempty" json:"Retire,omitempty"`
}

// Trial is the ring of the service as it would be after the change. The yard
// itself, and what it knows of its servers, stay as they are.
//
// Example:
//
//	trial := yard.Trial(change)
//	isMoving := trial(place) != yard.Home(change.Service, place).ID
func (s *ServerSet) HomeAfter(change Change) (homeOf func(RingPosition) string) {
	var endpoints []*Endpoint
	adding := map[string]bool{}
	for _, text := range change.Add {
		added := &Endpoint{endpointState: &endpointState{}}
		added.ID, added.Cell, _ = strings.Cut(text, "@")
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
