package registry

import (
	"errors"
	"fmt"

	"ploverhitch/internal/config"
)

// ErrDeferred reports that a proposal is valid by itself but not together with those
// before it in the same batch. It has no result yet: a proposer that is told of a
// rejection can rely on a decided set for which the proposal is invalid.
var ErrDeferred = errors.New("the proposal conflicts with another one of the same batch")

// StaleError reports that a proposal is valid, but can't be shown to have been valid
// after each change since its base: another node may have rejected it. It may be made
// again with a newer base if its caller still waits for a response.
type StaleError struct {
	// Head is the index of the set against which the proposal was judged.
	Head Index
}

// Error returns a message with the index.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the change may have been rejected before the configuration reached index %d", e.Head)
}

// Batch collects proposals into the change that follows a set, and judges each by the sets
// since its base. Whether a proposal is valid depends only on its items and the set, so
// one that is valid after each change since its base was rejected by no node since.
type Batch struct {
	replica *Replica
	check   Check
	draft   *Draft
	set     *Set
	// head is a draft on the set without the proposals of the batch, past are drafts on
	// earlier sets. All are made when they are needed.
	head *Draft
	past map[Index]*Draft
}

// NewBatch returns an empty batch for the change that follows the set, which is that of the
// replica or, before the first change, the one that migration made of it.
func (r *Replica) NewBatch(set *Set, check Check) *Batch {
	return &Batch{replica: r, check: check, set: set, draft: set.Draft(check), past: map[Index]*Draft{}}
}

// Draft returns the draft of the proposals that were added.
func (b *Batch) Draft() *Draft { return b.draft }

// AddUnbound adds a proposal that has no base.
func (b *Batch) AddUnbound(items []config.Item) error { return b.Add(items, b.set.Index) }

// Add adds a proposal as a whole or not at all. It returns the reason if the proposal is
// invalid for the set, a StaleError if it may have been invalid since its base, or
// ErrDeferred.
func (b *Batch) Add(items []config.Item, base Index) error {
	isFirst := b.draft.isEmpty()
	isStale := !b.wasValidSince(items, base)
	if isStale || !isFirst {
		if err := b.headDraft().Check(items); err != nil {
			return err
		}
	}
	if isStale {
		return &StaleError{Head: b.set.Index}
	}
	if err := b.draft.Add(items); err != nil {
		if isFirst {
			return err
		}
		return ErrDeferred
	}
	return nil
}

// wasValidSince reports whether a proposal that is valid for the present set is known to be
// valid for all sets since the base, or was accepted meanwhile. A change that touches
// nothing that the proposal has to do with leaves it as valid as it was before.
func (b *Batch) wasValidSince(items []config.Item, base Index) bool {
	if base == b.set.Index || b.draft.includes(items) {
		return true
	}
	if !b.replica.reaches(base) {
		return false
	}
	footprint := config.FootprintOf(items)
	checkEach := b.set.Items.HasMirrors()
	for index := b.set.Index; index > base; index-- {
		touched := b.replica.touchedBy(index)
		checkEach = checkEach || touched.TouchesAll()
		if !checkEach && footprint.IsIndependentOf(touched) {
			continue
		}
		if b.pastDraft(index-1).Check(items) != nil {
			return false
		}
	}
	return true
}

func (b *Batch) pastDraft(index Index) *Draft {
	if b.past[index] == nil {
		b.past[index] = b.replica.pastSet(index).Draft(b.check)
	}
	return b.past[index]
}

func (b *Batch) headDraft() *Draft {
	if b.draft.isEmpty() {
		return b.draft
	}
	if b.head == nil {
		b.head = b.set.Draft(b.check)
	}
	return b.head
}
