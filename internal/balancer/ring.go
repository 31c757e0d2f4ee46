package balancer

import (
	"hash/fnv"
	"sort"
	"strconv"
	"strings"
)

// Place is a place on a service's ring.
type Place uint64

// PlaceOf is the place of an operation's name: a key within its tenant, or a
// download's path.
//
// Example:
//
//	wish.Place = balancer.PlaceOf(tenant, key)
func PlaceOf(parts ...string) Place {
	sum := fnv.New64a()
	for _, part := range parts {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	return mix(sum.Sum64())
}

// mix spreads near hashes over the whole ring.
func mix(h uint64) Place {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return Place(h ^ h>>33)
}

// stop is one of the places at which a server stands on the ring.
type stop struct {
	at     Place
	siding *Siding
}

// ring is the ready servers of one service, each at several places by its
// instance, so that one that comes or goes moves only what is next to it.
type ring []stop

const stopsPerServer = 48

func newRing(list []*Siding) ring {
	r := make(ring, 0, len(list)*stopsPerServer)
	for _, siding := range list {
		for n := range stopsPerServer {
			r = append(r, stop{PlaceOf(siding.ID, strconv.Itoa(n)), siding})
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].before(r[j]) })
	return r
}

func (s stop) before(other stop) bool {
	return s.at < other.at || s.at == other.at && s.siding.ID < other.siding.ID
}

// walk visits distinct servers from the place on, until visit says no.
func (r ring) walk(from Place, visit func(*Siding) bool) {
	start := sort.Search(len(r), func(i int) bool { return r[i].at >= from })
	var seen []*Siding
next:
	for i := range r {
		siding := r[(start+i)%len(r)].siding
		for _, one := range seen {
			if one == siding {
				continue next
			}
		}
		seen = append(seen, siding)
		if !visit(siding) {
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
func (y *Yard) Home(service string, place Place) (home *Siding) {
	y.stand(service).ring.walk(place, func(siding *Siding) bool {
		home = siding
		return false
	})
	return home
}

// Names lists the instances on the service's ring.
//
// Example:
//
//	isThere := slices.Contains(yard.Names("fees"), "i-7f3a91c2")
func (y *Yard) Names(service string) (out []string) {
	for _, siding := range y.stand(service).list {
		out = append(out, siding.ID)
	}
	return out
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
func (y *Yard) Trial(change Change) (homeAfter func(Place) string) {
	var list []*Siding
	coming := map[string]bool{}
	for _, text := range change.Add {
		added := &Siding{learnt: &learnt{}}
		added.ID, added.Zone, _ = strings.Cut(text, "@")
		list, coming[added.ID] = append(list, added), true
	}
	for _, siding := range y.stand(change.Service).list {
		if !contains(change.Retire, siding.ID) && !coming[siding.ID] {
			list = append(list, siding)
		}
	}
	trial := noStand.change(list, y.home).ring
	return func(place Place) (id string) {
		trial.walk(place, func(siding *Siding) bool {
			id = siding.ID
			return false
		})
		return id
	}
}

func contains(list []string, wanted string) bool {
	for _, one := range list {
		if one == wanted {
			return true
		}
	}
	return false
}
