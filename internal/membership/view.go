// Package membership knows the core's members: the numbered view, the agreement by
// which the view changes, the heartbeats on the ring, and who holds a duty.
package membership

import (
	"hash/fnv"
	"slices"
	"sort"
)

// Epoch numbers a view.
type Epoch uint64

// View is one numbered membership of the core. Members are the addresses at
// which the nodes speak to each other.
type View struct {
	Epoch   Epoch    `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
}

// FirstView is the view that a whole new system starts with.
//
// Example:
//
//	view := membership.FirstView([]string{"10.0.0.1:7200", "10.0.0.2:7200"})
func FirstView(members []string) View {
	members = slices.Clone(members)
	sort.Strings(members)
	return View{Epoch: 1, Members: slices.Compact(members)}
}

// Has tells whether the address is a member.
//
// Example:
//
//	isOut := !view.Has(self)
func (v View) Contains(address string) bool { return slices.Contains(v.Members, address) }

// Others lists the members but for one.
//
// Example:
//
//	for _, member := range view.Others(self) { compare(member) }
func (v View) Others(address string) (out []string) {
	for _, member := range v.Members {
		if member != address {
			out = append(out, member)
		}
	}
	return out
}

// Majority is how many members decide.
//
// Example:
//
//	isDecided := votes >= view.Majority()
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// ReadSet is how many of the other members must be read so that whatever a
// majority holds is seen, even if the reader was itself one of that majority.
//
// Example:
//
//	isWhole := len(read) >= view.ReadSet()
func (v View) ReadQuorum() int { return len(v.Members) - v.Majority() + 1 }

// Swap is the next view, with one member given up for another; an empty name
// leaves out that half.
//
// Example:
//
//	next := view.Swap("10.0.0.2:7200", "10.0.0.9:7200")
func (v View) Replace(removed, added string) View {
	next := View{Epoch: v.Epoch + 1}
	for _, member := range v.Members {
		if member != removed {
			next.Members = append(next.Members, member)
		}
	}
	if added != "" {
		next.Members = append(next.Members, added)
	}
	return next
}

// Watchers names the nodes to which a node sends its heartbeats: the few that
// follow its place on the ring of hashes.
//
// Example:
//
//	for _, watcher := range membership.Watchers(view.Members, self, 2) { beat(watcher) }
func RingSuccessors(members []string, self string, count int) []string {
	ring := slices.Clone(members)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	sort.Slice(ring, func(i, j int) bool {
		hashI, hashJ := nameHash(ring[i]), nameHash(ring[j])
		return hashI < hashJ || hashI == hashJ && ring[i] < ring[j]
	})
	selfIndex := slices.Index(ring, self)
	var out []string
	for step := 1; step < len(ring) && len(out) < count; step++ {
		out = append(out, ring[(selfIndex+step)%len(ring)])
	}
	return out
}

// Followed orders the members for one follower: it keeps to the first of them, and
// every follower's order is another, so that each member carries its part.
//
// Example:
//
//	members := membership.Followed(view.Members, node)[:view.Majority()]
func FollowOrder(members []string, follower string) []string {
	out := slices.Clone(members)
	sort.Slice(out, func(i, j int) bool {
		hashI, hashJ := nameHash(follower+"\x00"+out[i]), nameHash(follower+"\x00"+out[j])
		return hashI < hashJ || hashI == hashJ && out[i] < out[j]
	})
	return out
}

func nameHash(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
