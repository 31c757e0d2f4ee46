package registry

import (
	"cmp"
	"slices"

	"ploverhitch/internal/config"
)

// historyLength is how many accepted versions of an item are remembered, the
// highest ones, the one in force included.
const maxHistoryLength = 8

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
	Items   config.Book
	history map[config.ID][]AcceptedVersion
	size    int
}

// sizeOf is about how much room an item takes, on the wire and in memory.
func approximateSize(item config.Item) int {
	return len(item.Body) + len(item.Host) + len(item.ID.Name) + 64
}

// put replaces the item of that id.
func (s *Set) put(item config.Item) {
	if current, ok := s.Items[item.ID]; ok {
		s.size -= approximateSize(current)
	}
	s.Items[item.ID] = item
	s.size += approximateSize(item)
}

// NewSet makes the empty set.
//
// Example:
//
//	set := registry.NewSet()
func NewSet() *Set {
	return &Set{Items: config.Book{}, history: map[config.ID][]AcceptedVersion{}}
}

// apply makes the set that follows; the change must be the next one. A version
// below the one held is remembered and has no other effect.
func (s *Set) apply(change Change) {
	if change.ReplacesAll {
		s.Items, s.size = config.Book{}, 0
		s.history = map[config.ID][]AcceptedVersion{}
	}
	for _, item := range change.Items {
		if current, ok := s.Items[item.ID]; !ok || item.Version > current.Version {
			s.put(item)
		}
		s.recordAccepted(item)
	}
	s.Index = change.Index
}

// remember notes that the item's version was accepted. What is remembered does
// not depend on the order, so that applying a change twice leaves it the same.
func (s *Set) recordAccepted(item config.Item) {
	accepted := AcceptedVersion{item.Version, item.Fingerprint()}
	versions := slices.Clone(s.history[item.ID])
	position, found := slices.BinarySearchFunc(versions, accepted, compareVersions)
	if found {
		versions[position] = accepted
	} else {
		versions = slices.Insert(versions, position, accepted)
	}
	s.history[item.ID] = versions[max(0, len(versions)-maxHistoryLength):]
}

func compareVersions(a, b AcceptedVersion) int { return cmp.Compare(a.Version, b.Version) }

// isForgotten tells whether the version is below all that can be remembered of
// the item: whether it was accepted, and with what content, is not known then.
func (s *Set) precedesHistory(id config.ID, version config.Version) bool {
	versions := s.history[id]
	return len(versions) == maxHistoryLength && version < versions[0].Version
}

// Accepted are the versions of an item that are remembered, the oldest first.
//
// Example:
//
//	for _, accepted := range set.Accepted(id) { show(accepted) }
func (s *Set) Accepted(id config.ID) []AcceptedVersion { return slices.Clone(s.history[id]) }

// fingerprintOf is the content that was accepted under a version of the item.
func (s *Set) acceptedFingerprint(id config.ID, version config.Version) (fingerprint string, ok bool) {
	for _, accepted := range s.history[id] {
		if accepted.Version == version {
			return accepted.Fingerprint, true
		}
	}
	current, exists := s.Items[id]
	if exists && current.Version == version {
		return current.Fingerprint(), true
	}
	return "", false
}
