package registry

import (
	"cmp"
	"slices"

	"ploverhitch/internal/config"
)

// maxHistoryLength is how many accepted versions of an item are recorded: the
// highest ones, including the one in force.
const maxHistoryLength = 8

// AcceptedVersion is an accepted version of an item with the fingerprint of its
// content.
type AcceptedVersion struct {
	Version     config.Version `cbor:"1,keyasint"`
	Fingerprint string         `cbor:"2,keyasint"`
}

// History lists the highest accepted versions of one item in ascending order.
type History struct {
	ID       config.ID         `cbor:"1,keyasint"`
	Accepted []AcceptedVersion `cbor:"2,keyasint"`
}

// Set is the item set after the change numbered Index.
type Set struct {
	Index   Index
	Items   config.ItemSet
	history map[config.ID][]AcceptedVersion
	size    int
}

// approximateSize returns the approximate size of an item in bytes, on the wire and
// in memory.
func approximateSize(item config.Item) int {
	return len(item.Body) + len(item.Host) + len(item.ID.Name) + 64
}

// put adds an item or replaces the one with the same ID.
func (s *Set) put(item config.Item) {
	if current, ok := s.Items[item.ID]; ok {
		s.size -= approximateSize(current)
	}
	s.Items[item.ID] = item
	s.size += approximateSize(item)
}

// remove removes an item.
func (s *Set) remove(id config.ID) {
	if current, ok := s.Items[id]; ok {
		s.size -= approximateSize(current)
	}
	delete(s.Items, id)
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{Items: config.ItemSet{}, history: map[config.ID][]AcceptedVersion{}}
}

// apply applies the next change. A version that is not higher than the current one
// is recorded as accepted and has no other effect.
func (s *Set) apply(change Change) {
	if change.ReplacesAll {
		s.Items, s.size = config.ItemSet{}, 0
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

// recordAccepted records that the item's version was accepted. The result doesn't
// depend on the order of calls, so applying a change twice has no further effect.
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

// precedesHistory reports whether the version is below the full history of the item:
// whether it was accepted, and with what content, is then unknown.
func (s *Set) precedesHistory(id config.ID, version config.Version) bool {
	versions := s.history[id]
	return len(versions) == maxHistoryLength && version < versions[0].Version
}

// Accepted returns the recorded versions of an item in ascending order.
func (s *Set) Accepted(id config.ID) []AcceptedVersion { return slices.Clone(s.history[id]) }

// acceptedFingerprint returns the fingerprint of the content that was accepted under
// a version of the item.
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
