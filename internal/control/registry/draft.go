package registry

import (
	"cmp"
	"fmt"

	"ploverhitch/internal/config"
)

// Check looks at the set that an order would make; newer are the items of the
// order that have an effect, unseen those that were not accepted before.
type Check func(whole config.Book, newer, unseen []config.Item) error

// ConflictError says that another content was accepted under the number that an
// order gives to an item.
type ConflictError struct {
	ID       config.ID
	Version  config.Version
	Accepted string
	Offered  string
}

// Error names the item, the number and both contents.
//
// Example:
//
//	writeConflict(err.Error())
func (e *ConflictError) Error() string {
	return fmt.Sprintf("item %s: r%d was accepted with content %s, not with %s", e.ID.Name, e.Version, e.Accepted, e.Offered)
}

// Draft collects orders into the change that follows a set. Orders that do not
// hold leave nothing behind.
type Draft struct {
	set  *Set
	book config.Book
	// items are what the orders taken so far bring, in their order; an item may
	// stand there under several versions, and under versions with no effect.
	items        []config.Item
	fingerprints map[versionKey]string
	check        Check
}

// versionKey names one version of one item.
type versionKey struct {
	id      config.ID
	version config.Version
}

// Draft begins the change that follows the set.
//
// Example:
//
//	draft := set.Draft(check)
//	err := draft.Add(items)
func (s *Set) Draft(check Check) *Draft {
	return &Draft{set: s, book: s.Items.Clone(), fingerprints: map[versionKey]string{}, check: check}
}

// Add takes an order whole or not at all. An item at or below the version held
// has no effect; under a version that was accepted with another content it is a
// ConflictError, unless the order is invalid all the same.
//
// Example:
//
//	if err := draft.Add(items); err != nil { refuse(err) }
func (d *Draft) Add(items []config.Item) error {
	newer, unseen, conflict := d.classify(items)
	if len(unseen) == 0 {
		return nil
	}
	previous := map[config.ID]config.Item{}
	for _, item := range newer {
		if current, ok := d.book[item.ID]; ok {
			if _, saved := previous[item.ID]; !saved {
				previous[item.ID] = current
			}
		}
		d.book[item.ID] = item
	}
	err := d.check(d.book, newer, unseen)
	if err == nil && conflict != nil {
		err = conflict
	}
	if err != nil {
		for _, item := range newer {
			delete(d.book, item.ID)
		}
		for id, current := range previous {
			d.book[id] = current
		}
		return err
	}
	d.include(unseen)
	return nil
}

// sort tells an order's items apart: those that have an effect, and those that
// were not accepted before with this content. It returns the first conflict.
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
		current, exists := d.book[item.ID]
		if highest[item.ID].Version == item.Version && (!exists || item.Version > current.Version) {
			newer = append(newer, item)
		}
	}
	return newer, unseen, conflict
}

// fingerprintOf is the content accepted under the item's version, by the set or
// by an earlier order of this draft.
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

// take brings what was not accepted before into the change, also what has no
// effect: its version is accepted with this content from now on.
func (d *Draft) include(unseen []config.Item) {
	for _, item := range unseen {
		if _, included := d.fingerprints[versionKey{item.ID, item.Version}]; included || d.set.precedesHistory(item.ID, item.Version) {
			continue
		}
		d.fingerprints[versionKey{item.ID, item.Version}] = item.Fingerprint()
		d.items = append(d.items, item)
	}
}

// Change is what the orders come to, and whether they come to anything.
//
// Example:
//
//	change, isAny := draft.Change()
func (d *Draft) Change() (change Change, ok bool) {
	return Change{Index: d.set.Index + 1, Items: d.items}, len(d.items) > 0
}
