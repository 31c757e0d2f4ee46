// Package control is the core program: it keeps manifest items, intents and
// views on disk, votes, agrees on membership, and holds duties.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/storage"
	"ploverhitch/internal/timetable"
)

// command is a change for the keeper: act reads and changes the tables and
// returns what must be kept; done runs once that, and all before it, is.
type command struct {
	act  func(*tables) []record
	done func()
}

// keeper owns the tables and the log. A batch of commands shares one sync.
type keeper struct {
	loop   *timetable.Loop[command]
	tables *tables
	log    *storage.Log
	clock  timetable.Clock
	// unsaved is what a failing disk has not taken yet; nothing is told before
	// it is kept.
	unsaved [][]byte
	pending []func()
	fail    func(error)
	// isWriting says that a checkpoint is being written; there is one at a time.
	isWriting atomic.Bool
	// self is this node's name among the members.
	self string
}

func openKeeper(disk storage.Disk, policy idempotency.Policy, clock timetable.Clock, fail func(error)) (*keeper, error) {
	k := &keeper{loop: timetable.NewLoop[command](4096), tables: newTables(policy), clock: clock, fail: fail}
	log, err := storage.Open(disk, func(text []byte) error {
		var r record
		if err := cbor.Unmarshal(text, &r); err != nil {
			return errors.Annotate(err, "a record of the log")
		}
		k.tables.apply(r)
		return nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if k.log = log; len(log.Damages()) > 0 {
		// What could be read still counts as told, but the node is treated
		// as one whose disk was lost: it votes again once it has rebuilt.
		fail(errors.New("records of the log cannot be read; the node rebuilds from the others"))
		for _, damage := range log.Damages()[:min(len(log.Damages()), damagesNoted)] {
			fail(errors.Errorf("damage, %d in all: %s", len(log.Damages()), damage))
		}
		isTrusted := false
		r := record{Trusted: &isTrusted}
		k.tables.apply(r)
		k.note(r)
		k.flush()
		k.checkpoint()
	}
	return k, nil
}

func (k *keeper) put(act func(*tables) []record, done func()) {
	k.loop.Put(command{act, done})
}

// read runs look with the tables and waits for it.
func (k *keeper) read(look func(*tables)) {
	ended := make(chan struct{})
	k.put(func(t *tables) []record { look(t); return nil }, func() { close(ended) })
	<-ended
}

// keep runs act and waits until what it returned is kept, or the span ends.
func (k *keeper) keep(act func(*tables) []record, wait time.Duration) bool {
	ended := make(chan struct{})
	k.put(act, func() { close(ended) })
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case <-ended:
		return true
	case <-alarm.C:
		return false
	}
}

// damagesNoted is how many places of damage the log names one by one.
const damagesNoted = 20

const (
	tendPeriod      = 250 * time.Millisecond
	checkpointBytes = 24 << 20
	// repairBytes is how large the log of a member that repairs may grow.
	repairBytes = 3 * checkpointBytes
)

func (k *keeper) run(ctx context.Context) { k.loop.Run(ctx, k.handle, tendPeriod, k.tend) }

func (k *keeper) handle(batch []command) {
	for _, c := range batch {
		for _, r := range c.act(k.tables) {
			k.note(r)
		}
		if c.done != nil {
			k.pending = append(k.pending, c.done)
		}
	}
	k.flush()
}

func (k *keeper) note(r record) {
	text, err := cbor.Marshal(r)
	if err != nil {
		k.fail(err)
		return
	}
	k.unsaved = append(k.unsaved, text)
}

func (k *keeper) flush() {
	if len(k.unsaved) > 0 {
		if err := k.log.Append(k.unsaved); err != nil {
			k.fail(err)
			return
		}
		k.unsaved = nil
	}
	pending := k.pending
	k.pending = nil
	for _, done := range pending {
		done()
	}
}

func (k *keeper) tend() {
	for _, entry := range k.tables.voter.Tend(k.clock.Wall()) {
		k.note(record{Entry: &entry})
	}
	k.flush()
	view := k.tables.view
	limit := checkpointAt(slices.Index(view.Members, k.self), len(view.Members))
	if !k.tables.isTrusted {
		// What is read in a repair would be written several times over.
		limit = repairBytes
	}
	if k.log.Grown() >= limit && len(k.unsaved) == 0 {
		k.checkpoint()
	}
}

// checkpointAt is how large the log of the member at a place in the view may grow.
// All members keep the same, so the places differ: checkpoints written at once would
// hold up the syncs of a majority, and with them its votes and news.
func checkpointAt(place, members int) int64 {
	if place < 0 {
		return checkpointBytes
	}
	return checkpointBytes - int64(checkpointBytes/2*place/members)
}

// checkpoint begins a new segment and writes, beside the loop, all that came
// before it, unless the last checkpoint is still being written.
func (k *keeper) checkpoint() {
	if !k.isWriting.CompareAndSwap(false, true) {
		return
	}
	write, err := k.log.Roll()
	if err != nil {
		k.isWriting.Store(false)
		k.fail(err)
		return
	}
	records := k.tables.snapshot()
	texts := func(yield func([]byte) bool) {
		for r := range records {
			if text, err := cbor.Marshal(r); err == nil && !yield(text) {
				return
			}
		}
	}
	go func() {
		defer k.isWriting.Store(false)
		if err := write(texts); err != nil {
			k.fail(err)
		}
	}()
}
