package registry

import (
	"cmp"
	"slices"

	"ploverhitch/internal/config"
)

// historyLength is how many accepted versions of an item are remembered, the
// highest ones, the one in force included.
const historyLength = 8

// AcceptedVersion is a version that was accepted: its number, and the fingerprint
// of its content.
type AcceptedVersion struct {
	Version     config.Version `cbor:"1,keyasint"`
	Fingerprint string         `cbor:"2,keyasint"`
}

// History is the highest versions of one item that were accepted, lowest first.
type History struct {
	ID       config.ID         `cbor:"1,keyasint"`
	Accepted []AcceptedVersion `cbor:"2,keyasint"`
}

// Set is the item set after the change numbered Index.
type Set struct {
	Index   Index
	Items   config.ItemSet
	history map[config.ID][]AcceptedVersion
	bytes   int
}

// sizeOf is about how much room an item takes, on the wire and in memory.
func sizeOf(item config.Item) int {
	return len(item.Body) + len(item.Host) + len(item.ID.Name) + 64
}

// put replaces the item of that id.
func (s *Set) put(item config.Item) {
	if held, isHeld := s.Items[item.ID]; isHeld {
		s.bytes -= sizeOf(held)
	}
	s.Items[item.ID] = item
	s.bytes += sizeOf(item)
}

// NewSet makes the empty set.
//
// Example:
//
//	set := registry.NewSet()
func NewSet() *Set {
	return &Set{Items: config.ItemSet{}, history: map[config.ID][]AcceptedVersion{}}
}

// apply makes the set that follows; the change must be the next one. A version
// below the one held is remembered and has no other effect.
func (s *Set) apply(change Change) {
	if change.IsWhole {
		s.Items, s.bytes = config.ItemSet{}, 0
		s.history = map[config.ID][]AcceptedVersion{}
	}
	for _, item := range change.Items {
		if held, isHeld := s.Items[item.ID]; !isHeld || item.Version > held.Version {
			s.put(item)
		}
		s.remember(item)
	}
	s.Index = change.Index
}

// remember notes that the item's version was accepted. What is remembered does
// not depend on the order, so that applying a change twice leaves it the same.
func (s *Set) remember(item config.Item) {
	accepted := AcceptedVersion{item.Version, item.Fingerprint()}
	list := slices.Clone(s.history[item.ID])
	at, isThere := slices.BinarySearchFunc(list, accepted, compareVersions)
	if isThere {
		list[at] = accepted
	} else {
		list = slices.Insert(list, at, accepted)
	}
	s.history[item.ID] = list[max(0, len(list)-historyLength):]
}

func compareVersions(a, z AcceptedVersion) int { return cmp.Compare(a.Version, z.Version) }

// isForgotten tells whether the version is below all that can be remembered of
// the item: whether it was accepted, and with what content, is not known then.
func (s *Set) isForgotten(id config.ID, version config.Version) bool {
	list := s.history[id]
	return len(list) == historyLength && version < list[0].Version
}

// Accepted are the versions of an item that are remembered, the oldest first.
//
// Example:
//
//	for _, accepted := range set.Accepted(id) { show(accepted) }
func (s *Set) Accepted(id config.ID) []AcceptedVersion { return slices.Clone(s.history[id]) }

// fingerprintOf is the content that was accepted under a version of the item.
func (s *Set) fingerprintOf(id config.ID, version config.Version) (fingerprint string, isKnown bool) {
	for _, accepted := range s.history[id] {
		if accepted.Version == version {
			return accepted.Fingerprint, true
		}
	}
	held, isHeld := s.Items[id]
	if isHeld && held.Version == version {
		return held.Fingerprint(), true
	}
	return "", false
}
