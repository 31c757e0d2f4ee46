// Package membership tracks the members of the control plane: the numbered view, the
// consensus protocol that changes it, the heartbeats between members, and the
// candidate for leadership.
package membership

import (
	"hash/fnv"
	"slices"
	"sort"
)

// Epoch numbers a view.
type Epoch uint64

// View is one numbered membership of the control plane. Members are the internal
// addresses of the nodes.
type View struct {
	Epoch   Epoch    `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
}

// FirstView returns the initial view of a new system.
func FirstView(members []string) View {
	members = slices.Clone(members)
	sort.Strings(members)
	return View{Epoch: 1, Members: slices.Compact(members)}
}

// Contains reports whether the address is a member.
func (v View) Contains(address string) bool { return slices.Contains(v.Members, address) }

// Others returns all members except the given one.
func (v View) Others(address string) (out []string) {
	for _, member := range v.Members {
		if member != address {
			out = append(out, member)
		}
	}
	return out
}

// Without returns the members that are not in another view.
func (v View) Without(other View) (out []string) {
	for _, member := range v.Members {
		if !other.Contains(member) {
			out = append(out, member)
		}
	}
	return out
}

// Majority returns the size of a majority quorum.
func (v View) Majority() int { return len(v.Members)/2 + 1 }

// ReadQuorum returns how many other members must be read to see everything that a
// majority holds, even if the reader was itself part of that majority.
func (v View) ReadQuorum() int { return len(v.Members) - v.Majority() + 1 }

// Replace returns the next view, with one member removed and another added. If
// either is empty, that change is left out.
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

// outsiderTargetCount is the number of members that receive the heartbeats of a node
// outside of the view.
const outsiderTargetCount = 2

// HeartbeatTargets returns the members that receive a node's heartbeats. Members send to all
// others: with fewer targets, the loss of one member can hide another one that is live.
func (v View) HeartbeatTargets(self string) []string {
	if v.Contains(self) {
		return v.Others(self)
	}
	return RingSuccessors(v.Members, self, outsiderTargetCount)
}

// RingSuccessors returns the count nodes that follow self on the hash ring of the
// members.
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

// FollowOrder returns the members in one follower's order of preference. The order
// differs between followers, so that the load of followers is spread evenly.
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
