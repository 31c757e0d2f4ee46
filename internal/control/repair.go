package control

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const (
	// repairCallTimeout is the timeout of one call of a repair.
	repairCallTimeout = time.Second
	// repairPersistTimeout bounds how long the disk may take to persist one chunk.
	repairPersistTimeout = 10 * time.Second
	// repairChunkBytes is the approximate size of the chunk of a member's intents that is
	// transferred, decoded and written at a time, independent of the size of the table.
	repairChunkBytes = 256 << 10
	// rangesPerComparison is how many ranges are compared intent by intent at a time.
	rangesPerComparison = 32
	// maxCursorKeys bounds the number of keys in one cursor.
	maxCursorKeys = 4096
)

const (
	errEarlierEpoch = errors.ConstError("the member is in an earlier epoch")
	errNotPersisted = errors.ConstError("the disk did not persist the entries read in time")
)

// copyMode defines which intents are copied and how urgently.
type copyMode struct {
	// minDifferenceAge is how long a difference must last before it is copied: records
	// in transit arrive within this time.
	minDifferenceAge time.Duration
	// pause is the time between two chunks.
	pause time.Duration
	// scope selects the intents to copy.
	scope idempotency.Scope
}

// copyImmediately is the mode of a member that does not vote until the copy is complete.
var copyImmediately = copyMode{}

// copyIntents copies the intents that another member holds and this one lacks. It
// compares digests of ranges, then the intents of the ranges that differ, and reads
// the missing ones in chunks, each requested once the previous one is on disk. It returns
// how many intents were missing.
func (n *node) copyIntents(member string, epoch membership.Epoch, mode copyMode) (missing int, err error) {
	var reply messages.DigestsResponse
	if err = n.connection(member).Call(messages.KindDigests, messages.Digests{Epoch: epoch, Scope: mode.scope}, &reply, repairCallTimeout); err != nil {
		return 0, err
	}
	if !reply.OK {
		return 0, errEarlierEpoch
	}
	var ranges []idempotency.Range
	n.store.read(func(t *tables) { ranges = idempotency.DifferingRanges(t.voter.Digests(mode.scope), reply.Ranges) })
	for rangeGroup := range slices.Chunk(ranges, rangesPerComparison) {
		keys, err := n.missingKeys(member, epoch, rangeGroup, mode)
		if err != nil {
			return missing, err
		}
		missing += len(keys)
		for keyGroup := range slices.Chunk(keys, maxCursorKeys) {
			if err = n.copyEntries(member, epoch, idempotency.Cursor{Ranges: rangeGroup, KeyHashes: keyGroup}, mode); err != nil {
				return missing, err
			}
		}
	}
	return missing, nil
}

// missingKeys compares some ranges intent by intent and returns the hashes of the keys
// whose intents are missing here.
func (n *node) missingKeys(member string, epoch membership.Epoch, ranges []idempotency.Range, mode copyMode) (missing []uint64, err error) {
	var reply messages.SummariesResponse
	if err = n.connection(member).Call(messages.KindSummaries, messages.Summaries{Epoch: epoch, Ranges: ranges}, &reply, repairCallTimeout); err != nil {
		return nil, err
	}
	if !reply.OK {
		return nil, errEarlierEpoch
	}
	if mode.minDifferenceAge > 0 {
		n.clock.Sleep(mode.minDifferenceAge)
	}
	n.store.read(func(t *tables) { missing = t.voter.MissingKeys(ranges, reply.Summaries, mode.scope) })
	return missing, nil
}

// copyEntries reads the entries of a cursor in chunks and persists each chunk.
func (n *node) copyEntries(member string, epoch membership.Epoch, cursor idempotency.Cursor, mode copyMode) error {
	for len(cursor.Ranges) > 0 {
		var reply messages.EntriesResponse
		if err := n.connection(member).Call(messages.KindEntries, messages.Entries{Epoch: epoch, Cursor: cursor}, &reply, repairCallTimeout); err != nil {
			return err
		}
		if !reply.OK {
			return errEarlierEpoch
		}
		if !n.store.persist(func(t *tables) []record { return t.mergeEntries(reply.Entries) }, repairPersistTimeout) {
			return errNotPersisted
		}
		cursor = reply.Next
		if mode.pause > 0 {
			n.clock.Sleep(mode.pause)
		}
	}
	return nil
}

func (t *tables) mergeEntries(entries []idempotency.Entry) (records []record) {
	for _, entry := range t.voter.Merge(entries) {
		records = append(records, record{Entry: &entry})
	}
	return records
}

func (n *node) onDigests(in messages.Digests, reply func(messages.DigestsResponse)) {
	var digests messages.DigestsResponse
	n.store.enqueue(func(t *tables) []record {
		if digests.OK = t.view.Epoch >= in.Epoch; digests.OK {
			digests.Ranges = t.voter.Digests(in.Scope)
		}
		return nil
	}, func() { reply(digests) })
}

func (n *node) onSummaries(in messages.Summaries, reply func(messages.SummariesResponse)) {
	var summaries messages.SummariesResponse
	n.store.enqueue(func(t *tables) []record {
		if summaries.OK = t.view.Epoch >= in.Epoch; summaries.OK {
			summaries.Summaries = t.voter.Summaries(in.Ranges)
		}
		return nil
	}, func() { reply(summaries) })
}

func (n *node) onEntries(in messages.Entries, reply func(messages.EntriesResponse)) {
	var entries messages.EntriesResponse
	n.store.enqueue(func(t *tables) []record {
		if entries.OK = t.view.Epoch >= in.Epoch; entries.OK {
			entries.Entries, entries.Next = t.voter.Read(in.Cursor, repairChunkBytes)
		}
		return nil
	}, func() { reply(entries) })
}
