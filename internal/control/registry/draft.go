package registry

import (
	"cmp"
	"fmt"

	"ploverhitch/internal/config"
)

// Check looks at the set that an order would make; newer are the items of the
// order that have an effect, unseen those that were not accepted before.
type Check func(whole config.ItemSet, newer, unseen []config.Item) error

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
	set   *Set
	whole config.ItemSet
	// items are what the orders taken so far bring, in their order; an item may
	// stand there under several versions, and under versions with no effect.
	items    []config.Item
	accepted map[versionKey]string
	check    Check
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
	return &Draft{set: s, whole: s.Items.Clone(), accepted: map[versionKey]string{}, check: check}
}

// Add takes an order whole or not at all. An item at or below the version held
// has no effect; under a version that was accepted with another content it is a
// ConflictError, unless the order is invalid all the same.
//
// Example:
//
//	if err := draft.Add(items); err != nil { refuse(err) }
func (d *Draft) Add(order []config.Item) error {
	newer, unseen, conflict := d.sort(order)
	if len(unseen) == 0 {
		return nil
	}
	undo := map[config.ID]config.Item{}
	for _, item := range newer {
		if held, isHeld := d.whole[item.ID]; isHeld {
			if _, isNoted := undo[item.ID]; !isNoted {
				undo[item.ID] = held
			}
		}
		d.whole[item.ID] = item
	}
	err := d.check(d.whole, newer, unseen)
	if err == nil && conflict != nil {
		err = conflict
	}
	if err != nil {
		for _, item := range newer {
			delete(d.whole, item.ID)
		}
		for id, held := range undo {
			d.whole[id] = held
		}
		return err
	}
	d.take(unseen)
	return nil
}

// sort tells an order's items apart: those that have an effect, and those that
// were not accepted before with this content. It returns the first conflict.
func (d *Draft) sort(order []config.Item) (newer, unseen []config.Item, conflict *ConflictError) {
	highest := map[config.ID]config.Item{}
	for _, item := range order {
		other, isTwice := highest[item.ID]
		if isTwice && other.Version == item.Version && other.Fingerprint() != item.Fingerprint() {
			conflict = cmp.Or(conflict, d.conflict(item, other.Fingerprint()))
		}
		if !isTwice || other.Version < item.Version {
			highest[item.ID] = item
		}
	}
	for _, item := range order {
		accepted, isAccepted := d.fingerprintOf(item)
		if isAccepted && accepted == item.Fingerprint() {
			continue
		}
		unseen = append(unseen, item)
		if isAccepted {
			conflict = cmp.Or(conflict, d.conflict(item, accepted))
			continue
		}
		held, isHeld := d.whole[item.ID]
		if highest[item.ID].Version == item.Version && (!isHeld || item.Version > held.Version) {
			newer = append(newer, item)
		}
	}
	return newer, unseen, conflict
}

// fingerprintOf is the content accepted under the item's version, by the set or
// by an earlier order of this draft.
func (d *Draft) fingerprintOf(item config.Item) (fingerprint string, isAccepted bool) {
	fingerprint, isAccepted = d.accepted[versionKey{item.ID, item.Version}]
	if isAccepted {
		return fingerprint, true
	}
	return d.set.fingerprintOf(item.ID, item.Version)
}

func (d *Draft) conflict(item config.Item, accepted string) *ConflictError {
	return &ConflictError{ID: item.ID, Version: item.Version, Accepted: accepted, Offered: item.Fingerprint()}
}

// take brings what was not accepted before into the change, also what has no
// effect: its version is accepted with this content from now on.
func (d *Draft) take(unseen []config.Item) {
	for _, item := range unseen {
		if _, isTaken := d.accepted[versionKey{item.ID, item.Version}]; isTaken || d.set.isForgotten(item.ID, item.Version) {
			continue
		}
		d.accepted[versionKey{item.ID, item.Version}] = item.Fingerprint()
		d.items = append(d.items, item)
	}
}

// Change is what the orders come to, and whether they come to anything.
//
// Example:
//
//	change, isAny := draft.Change()
func (d *Draft) Change() (change Change, isAny bool) {
	return Change{Index: d.set.Index + 1, Items: d.items}, len(d.items) > 0
}
