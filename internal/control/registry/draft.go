package registry

import (
	"cmp"
	"fmt"
	"maps"

	"ploverhitch/internal/config"
)

// Check validates the set that a proposal would produce. newer are the proposal's
// items that take effect, unseen those that were not accepted before. The result depends
// on nothing else, and on other items only as config.Footprint says.
type Check func(itemSet config.ItemSet, newer, unseen []config.Item) error

// ConflictError reports that the version which a proposal gives to an item was
// accepted with different content.
type ConflictError struct {
	ID       config.ID
	Version  config.Version
	Accepted string
	Offered  string
}

// Error returns a message with the item, the version and both fingerprints.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("item %s: r%d was accepted with content %s, not with %s", e.ID.Name, e.Version, e.Accepted, e.Offered)
}

// Draft collects proposals into the change that follows a set. A rejected proposal
// has no effect on it.
type Draft struct {
	set     *Set
	itemSet config.ItemSet
	// items are those of the proposals added so far, in the order of the proposals.
	// They may hold several versions of an item, also versions without effect.
	items        []config.Item
	fingerprints map[versionKey]string
	check        Check
}

// versionKey identifies one version of one item.
type versionKey struct {
	id      config.ID
	version config.Version
}

// Draft returns an empty draft of the change that follows the set.
func (s *Set) Draft(check Check) *Draft {
	return &Draft{set: s, itemSet: s.Items.Clone(), fingerprints: map[versionKey]string{}, check: check}
}

// Add adds a proposal as a whole or not at all. An item has no effect if its version
// is not higher than the current one. If its version was accepted with different
// content, Add returns a ConflictError, unless the proposal fails validation.
func (d *Draft) Add(items []config.Item) error {
	unseen, undo, err := d.try(items)
	if err != nil {
		undo()
		return err
	}
	d.include(unseen)
	return nil
}

// Check returns the error that Add would return, without adding the proposal.
func (d *Draft) Check(items []config.Item) error {
	_, undo, err := d.try(items)
	undo()
	return err
}

// isEmpty reports whether the proposals added so far change nothing.
func (d *Draft) isEmpty() bool { return len(d.items) == 0 }

// includes reports whether all items were accepted before with this content.
func (d *Draft) includes(items []config.Item) bool {
	_, unseen, _ := d.classify(items)
	return len(unseen) == 0
}

// try puts the items of a proposal that take effect into the item set and validates the
// result. It returns the items that were not accepted before, and a function that
// restores the item set.
func (d *Draft) try(items []config.Item) (unseen []config.Item, undo func(), err error) {
	newer, unseen, conflict := d.classify(items)
	if len(unseen) == 0 {
		return nil, func() {}, nil
	}
	previous := map[config.ID]config.Item{}
	for _, item := range newer {
		if current, ok := d.itemSet[item.ID]; ok {
			if _, saved := previous[item.ID]; !saved {
				previous[item.ID] = current
			}
		}
		d.itemSet[item.ID] = item
	}
	undo = func() {
		for _, item := range newer {
			delete(d.itemSet, item.ID)
		}
		maps.Copy(d.itemSet, previous)
	}
	err = d.check(d.itemSet, newer, unseen)
	if err == nil && conflict != nil {
		err = conflict
	}
	return unseen, undo, err
}

// classify returns the items that take effect, those that were not accepted before
// with this content, and the first conflict.
func (d *Draft) classify(items []config.Item) (newer, unseen []config.Item, conflict *ConflictError) {
	highest := map[config.ID]config.Item{}
	for _, item := range items {
		other, seen := highest[item.ID]
		if seen && other.Version == item.Version && other.Fingerprint() != item.Fingerprint() {
			conflict = cmp.Or(conflict, d.newConflict(item, other.Fingerprint()))
		}
		if !seen || other.Version < item.Version {
			highest[item.ID] = item
		}
	}
	for _, item := range items {
		accepted, known := d.acceptedFingerprint(item)
		if known && accepted == item.Fingerprint() {
			continue
		}
		unseen = append(unseen, item)
		if known {
			conflict = cmp.Or(conflict, d.newConflict(item, accepted))
			continue
		}
		current, exists := d.itemSet[item.ID]
		if highest[item.ID].Version == item.Version && (!exists || item.Version > current.Version) {
			newer = append(newer, item)
		}
	}
	return newer, unseen, conflict
}

// acceptedFingerprint returns the fingerprint accepted under the item's version, by
// the set or by an earlier proposal of this draft.
func (d *Draft) acceptedFingerprint(item config.Item) (fingerprint string, known bool) {
	fingerprint, known = d.fingerprints[versionKey{item.ID, item.Version}]
	if known {
		return fingerprint, true
	}
	return d.set.acceptedFingerprint(item.ID, item.Version)
}

func (d *Draft) newConflict(item config.Item, accepted string) *ConflictError {
	return &ConflictError{ID: item.ID, Version: item.Version, Accepted: accepted, Offered: item.Fingerprint()}
}

// include adds the items that were not accepted before to the change, also those
// without effect: their versions are accepted with this content from now on.
func (d *Draft) include(unseen []config.Item) {
	for _, item := range unseen {
		if _, included := d.fingerprints[versionKey{item.ID, item.Version}]; included || d.set.precedesHistory(item.ID, item.Version) {
			continue
		}
		d.fingerprints[versionKey{item.ID, item.Version}] = item.Fingerprint()
		d.items = append(d.items, item)
	}
}

// Change returns the change that the proposals amount to; ok is false if it has no
// items.
func (d *Draft) Change() (change Change, ok bool) {
	return Change{Index: d.set.Index + 1, Items: d.items}, len(d.items) > 0
}
