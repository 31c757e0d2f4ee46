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
	// repairSpan is how long one call of a repair may take.
	repairSpan = time.Second
	// keepLongest is how long the disk may take to keep one piece.
	keepLongest = 10 * time.Second
	// pieceBytes is about how much of a member's intents is on its way, decoded
	// and written at a time, whatever the size of the table.
	pieceBytes = 256 << 10
	// compareRanges is how many ranges are compared intent by intent at a time.
	compareRanges = 32
	// maxWanted bounds the keys that one cursor names.
	maxWanted = 4096
)

const (
	errOtherEpoch = errors.ConstError("the member is in an earlier epoch")
	errNotKept    = errors.ConstError("the disk did not keep what was read")
)

// copyMode says how urgently intents are copied.
type copyMode struct {
	// settle is how long a difference must last before it is copied: what is on
	// its way arrives within it.
	settle time.Duration
	// rest lies between two pieces.
	rest time.Duration
	// scope is which intents are copied.
	scope idempotency.Scope
}

// copyAtOnce is the mode of a member that does not vote until it has everything.
var copyAtOnce = copyMode{}

// copyIntents brings this member the intents that another holds and it lacks. It
// compares digests of ranges, then the intents of the ranges that differ, and reads
// the rest in pieces, each asked for once the last is on disk. It returns how many
// intents were lacking.
func (n *node) copyIntents(member string, epoch membership.Epoch, mode copyMode) (lacking int, err error) {
	var told messages.DigestsResponse
	if err = n.connection(member).Call(messages.KindDigests, messages.Digests{Epoch: epoch, Scope: mode.scope}, &told, repairSpan); err != nil {
		return 0, err
	}
	if !told.OK {
		return 0, errOtherEpoch
	}
	var ranges []idempotency.Range
	n.store.read(func(t *tables) { ranges = idempotency.DifferingRanges(t.voter.Digests(mode.scope), told.Ranges) })
	for part := range slices.Chunk(ranges, compareRanges) {
		wanted, err := n.lackingOf(member, epoch, part, mode)
		if err != nil {
			return lacking, err
		}
		lacking += len(wanted)
		for only := range slices.Chunk(wanted, maxWanted) {
			if err = n.copyEntries(member, epoch, idempotency.Cursor{Ranges: part, KeyHashes: only}, mode); err != nil {
				return lacking, err
			}
		}
	}
	return lacking, nil
}

// lackingOf compares some ranges intent by intent.
func (n *node) lackingOf(member string, epoch membership.Epoch, ranges []idempotency.Range, mode copyMode) (wanted []uint64, err error) {
	var told messages.SummariesResponse
	if err = n.connection(member).Call(messages.KindSummaries, messages.Summaries{Epoch: epoch, Ranges: ranges}, &told, repairSpan); err != nil {
		return nil, err
	}
	if !told.OK {
		return nil, errOtherEpoch
	}
	if mode.settle > 0 {
		n.clock.Sleep(mode.settle)
	}
	n.store.read(func(t *tables) { wanted = t.voter.MissingKeys(ranges, told.Summaries, mode.scope) })
	return wanted, nil
}

// copyEntries reads the entries of a cursor piece by piece and keeps each.
func (n *node) copyEntries(member string, epoch membership.Epoch, cursor idempotency.Cursor, mode copyMode) error {
	for len(cursor.Ranges) > 0 {
		var told messages.EntriesResponse
		if err := n.connection(member).Call(messages.KindEntries, messages.Entries{Epoch: epoch, Cursor: cursor}, &told, repairSpan); err != nil {
			return err
		}
		if !told.OK {
			return errOtherEpoch
		}
		if !n.store.persist(func(t *tables) []record { return t.unionEntries(told.Entries) }, keepLongest) {
			return errNotKept
		}
		cursor = told.Next
		if mode.rest > 0 {
			n.clock.Sleep(mode.rest)
		}
	}
	return nil
}

func (t *tables) unionEntries(entries []idempotency.Entry) (out []record) {
	for _, entry := range t.voter.Merge(entries) {
		out = append(out, record{Entry: &entry})
	}
	return out
}

func (n *node) onDigests(in messages.Digests, answer func(messages.DigestsResponse)) {
	var out messages.DigestsResponse
	n.store.enqueue(func(t *tables) []record {
		if out.OK = t.view.Epoch >= in.Epoch; out.OK {
			out.Ranges = t.voter.Digests(in.Scope)
		}
		return nil
	}, func() { answer(out) })
}

func (n *node) onBriefs(in messages.Summaries, answer func(messages.SummariesResponse)) {
	var out messages.SummariesResponse
	n.store.enqueue(func(t *tables) []record {
		if out.OK = t.view.Epoch >= in.Epoch; out.OK {
			out.Summaries = t.voter.Summaries(in.Ranges)
		}
		return nil
	}, func() { answer(out) })
}

func (n *node) onEntries(in messages.Entries, answer func(messages.EntriesResponse)) {
	var out messages.EntriesResponse
	n.store.enqueue(func(t *tables) []record {
		if out.OK = t.view.Epoch >= in.Epoch; out.OK {
			out.Entries, out.Next = t.voter.Read(in.Cursor, pieceBytes)
		}
		return nil
	}, func() { answer(out) })
}
