// Package control is the core program: it keeps configuration items, intents and
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

// command is a change for the store: act reads and changes the tables and
// returns what must be kept; done runs once that, and all before it, is.
type command struct {
	apply func(*tables) []record
	done  func()
}

// store owns the tables and the log. A batch of commands shares one sync.
type store struct {
	loop   *timetable.Loop[command]
	tables *tables
	log    *storage.Log
	clock  timetable.Clock
	// unsaved is what a failing disk has not taken yet; nothing is told before
	// it is kept.
	unwritten   [][]byte
	callbacks   []func()
	reportError func(error)
	// isWriting says that a checkpoint is being written; there is one at a time.
	checkpointing atomic.Bool
	// self is this node's name among the members.
	self string
}

func openStore(disk storage.Disk, policy idempotency.Policy, clock timetable.Clock, reportError func(error)) (*store, error) {
	s := &store{loop: timetable.NewLoop[command](4096), tables: newTables(policy), clock: clock, reportError: reportError}
	log, err := storage.Open(disk, func(data []byte) error {
		var r record
		if err := cbor.Unmarshal(data, &r); err != nil {
			return errors.Annotate(err, "a record of the log")
		}
		s.tables.apply(r)
		return nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if s.log = log; len(log.Damages()) > 0 {
		// What could be read still counts as told, but the node is treated
		// as one whose disk was lost: it votes again once it has rebuilt.
		reportError(errors.New("records of the log cannot be read; the node rebuilds from the others"))
		for _, damage := range log.Damages()[:min(len(log.Damages()), maxLoggedDamages)] {
			reportError(errors.Errorf("damage, %d in all: %s", len(log.Damages()), damage))
		}
		trusted := false
		r := record{Trusted: &trusted}
		s.tables.apply(r)
		s.stage(r)
		s.flush()
		s.checkpoint()
	}
	return s, nil
}

func (s *store) enqueue(apply func(*tables) []record, done func()) {
	s.loop.Put(command{apply, done})
}

// read runs look with the tables and waits for it.
func (s *store) read(fn func(*tables)) {
	done := make(chan struct{})
	s.enqueue(func(t *tables) []record { fn(t); return nil }, func() { close(done) })
	<-done
}

// keep runs act and waits until what it returned is kept, or the span ends.
func (s *store) persist(apply func(*tables) []record, timeout time.Duration) bool {
	done := make(chan struct{})
	s.enqueue(apply, func() { close(done) })
	return closedWithin(done, timeout)
}

// isClosedWithin waits for the channel to be closed, and tells whether it was before
// the span ended.
func closedWithin(closed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}

// damagesNoted is how many places of damage the log names one by one.
const maxLoggedDamages = 20

const (
	maintenanceInterval = 250 * time.Millisecond
	checkpointLogBytes  = 24 << 20
	// repairBytes is how large the log of a member that repairs may grow.
	repairLogBytes = 3 * checkpointLogBytes
)

func (s *store) run(ctx context.Context) { s.loop.Run(ctx, s.handle, maintenanceInterval, s.maintain) }

func (s *store) handle(batch []command) {
	for _, c := range batch {
		for _, r := range c.apply(s.tables) {
			s.stage(r)
		}
		if c.done != nil {
			s.callbacks = append(s.callbacks, c.done)
		}
	}
	s.flush()
}

func (s *store) stage(r record) {
	data, err := cbor.Marshal(r)
	if err != nil {
		s.reportError(err)
		return
	}
	s.unwritten = append(s.unwritten, data)
}

func (s *store) flush() {
	if len(s.unwritten) > 0 {
		if err := s.log.Append(s.unwritten); err != nil {
			s.reportError(err)
			return
		}
		s.unwritten = nil
	}
	callbacks := s.callbacks
	s.callbacks = nil
	for _, done := range callbacks {
		done()
	}
}

func (s *store) maintain() {
	for _, entry := range s.tables.voter.Tend(s.clock.Wall()) {
		s.stage(record{Entry: &entry})
	}
	s.flush()
	view := s.tables.view
	limit := checkpointThreshold(slices.Index(view.Members, s.self), len(view.Members))
	if !s.tables.trusted {
		// What is read in a repair would be written several times over.
		limit = repairLogBytes
	}
	if s.log.Grown() >= limit && len(s.unwritten) == 0 {
		s.checkpoint()
	}
}

// checkpointAt is how large the log of the member at a place in the view may grow.
// All members keep the same, so the places differ: checkpoints written at once would
// hold up the syncs of a majority, and with them its votes and news.
func checkpointThreshold(position, members int) int64 {
	if position < 0 {
		return checkpointLogBytes
	}
	return checkpointLogBytes - int64(checkpointLogBytes/2*position/members)
}

// checkpoint begins a new segment and writes, beside the loop, all that came
// before it, unless the last checkpoint is still being written.
func (s *store) checkpoint() {
	if !s.checkpointing.CompareAndSwap(false, true) {
		return
	}
	write, err := s.log.Roll()
	if err != nil {
		s.checkpointing.Store(false)
		s.reportError(err)
		return
	}
	records := s.tables.snapshot()
	encoded := func(yield func([]byte) bool) {
		for r := range records {
			if data, err := cbor.Marshal(r); err == nil && !yield(data) {
				return
			}
		}
	}
	go func() {
		defer s.checkpointing.Store(false)
		if err := write(encoded); err != nil {
			s.reportError(err)
		}
	}()
}
