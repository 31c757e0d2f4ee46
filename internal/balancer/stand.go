package balancer

import (
	"slices"
	"sort"
)

// stand is the ready servers of one service.
type stand struct {
	list []*Siding
	// ring is of those that the node keeps to: near and far.
	ring ring
	// near and far are the servers of the own cell and of the others to which
	// the node keeps where no ring decides: few enough that its connections to
	// them are used again, and others than those of the next node.
	near, far []*Siding
	// most is the most capacity that near ever had.
	most int
}

// nearPart is the part of the set that is of the own cell, if it has so many.
const nearPart = 2.0 / 3

// change is the stand with another list; what did not change stays.
func (s *stand) change(list []*Siding, home Home) *stand {
	if s == nil {
		s = noStand
	}
	if slices.Equal(s.list, list) {
		return s
	}
	next := &stand{list: list}
	rank := map[string]Place{}
	for _, siding := range list {
		rank[siding.ID] = PlaceOf(home.Node, siding.ID)
		if siding.Zone == home.Cell {
			next.near = append(next.near, siding)
		} else {
			next.far = append(next.far, siding)
		}
	}
	if home.Set > 0 && len(list) > home.Set {
		next.keep(home, rank)
	}
	next.ring = s.ring.change(s.kept(), next.kept())
	next.most = max(s.most, capacity(next.near))
	return next
}

// kept are the servers that the node keeps to.
func (s *stand) kept() []*Siding { return slices.Concat(s.near, s.far) }

func capacity(list []*Siding) (sum int) {
	for _, siding := range list {
		sum += siding.Capacity
	}
	return sum
}

// keep leaves the servers that the node keeps to.
func (s *stand) keep(home Home, rank map[string]Place) {
	for _, part := range [][]*Siding{s.near, s.far} {
		sort.Slice(part, func(i, j int) bool { return rank[part[i].ID] < rank[part[j].ID] })
	}
	near := min(len(s.near), max(int(float64(home.Set)*nearPart), home.Set-len(s.far)))
	s.near, s.far = s.near[:near], s.far[:min(len(s.far), home.Set-near)]
}

// fallenPart is the part of its capacity with which a site counts as fallen.
const fallenPart = 0.5

// IsSound tells whether the server is neither set aside nor failed when it was
// last asked.
//
// Example:
//
//	if !siding.IsSound() { passOn() }
func (s *Siding) IsSound() bool { return s.fails.Load() == 0 && !s.isAside.Load() && !s.isGone.Load() }

// IsFallen tells whether the node's own cell has lost most of a service: few of
// its servers are left that are ready and did not fail when last asked.
//
// Example:
//
//	if yard.IsFallen(service) { passUp() }
func (y *Yard) IsFallen(service string) bool {
	s, left := y.stand(service), 0
	for _, siding := range s.near {
		if siding.IsSound() {
			left += siding.Capacity
		}
	}
	return s.most > 0 && float64(left) <= fallenPart*float64(s.most)
}

// change is the ring of another list, made from this one's.
func (r ring) change(old, list []*Siding) ring {
	isOld, now := map[string]bool{}, map[string]*Siding{}
	for _, siding := range old {
		isOld[siding.ID] = true
	}
	var added []*Siding
	for _, siding := range list {
		if now[siding.ID] = siding; !isOld[siding.ID] {
			added = append(added, siding)
		}
	}
	fresh := newRing(added)
	out := make(ring, 0, len(list)*stopsPerServer)
	for _, stop := range r {
		if stop.siding = now[stop.siding.ID]; stop.siding == nil {
			continue
		}
		for len(fresh) > 0 && fresh[0].before(stop) {
			out, fresh = append(out, fresh[0]), fresh[1:]
		}
		out = append(out, stop)
	}
	return append(out, fresh...)
}
