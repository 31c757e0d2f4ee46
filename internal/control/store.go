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
	act  func(*tables) []record
	done func()
}

// store owns the tables and the log. A batch of commands shares one sync.
type store struct {
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

func openStore(disk storage.Disk, policy idempotency.Policy, clock timetable.Clock, fail func(error)) (*store, error) {
	s := &store{loop: timetable.NewLoop[command](4096), tables: newTables(policy), clock: clock, fail: fail}
	log, err := storage.Open(disk, func(text []byte) error {
		var r record
		if err := cbor.Unmarshal(text, &r); err != nil {
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
		fail(errors.New("records of the log cannot be read; the node rebuilds from the others"))
		for _, damage := range log.Damages()[:min(len(log.Damages()), damagesNoted)] {
			fail(errors.Errorf("damage, %d in all: %s", len(log.Damages()), damage))
		}
		isTrusted := false
		r := record{Trusted: &isTrusted}
		s.tables.apply(r)
		s.note(r)
		s.flush()
		s.checkpoint()
	}
	return s, nil
}

func (s *store) put(act func(*tables) []record, done func()) {
	s.loop.Put(command{act, done})
}

// read runs look with the tables and waits for it.
func (s *store) read(look func(*tables)) {
	ended := make(chan struct{})
	s.put(func(t *tables) []record { look(t); return nil }, func() { close(ended) })
	<-ended
}

// keep runs act and waits until what it returned is kept, or the span ends.
func (s *store) keep(act func(*tables) []record, wait time.Duration) bool {
	ended := make(chan struct{})
	s.put(act, func() { close(ended) })
	return isClosedWithin(ended, wait)
}

// isClosedWithin waits for the channel to be closed, and tells whether it was before
// the span ended.
func isClosedWithin(ended <-chan struct{}, span time.Duration) bool {
	timeout := time.NewTimer(span)
	defer timeout.Stop()
	select {
	case <-ended:
		return true
	case <-timeout.C:
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

func (s *store) run(ctx context.Context) { s.loop.Run(ctx, s.handle, tendPeriod, s.tend) }

func (s *store) handle(batch []command) {
	for _, c := range batch {
		for _, r := range c.act(s.tables) {
			s.note(r)
		}
		if c.done != nil {
			s.pending = append(s.pending, c.done)
		}
	}
	s.flush()
}

func (s *store) note(r record) {
	text, err := cbor.Marshal(r)
	if err != nil {
		s.fail(err)
		return
	}
	s.unsaved = append(s.unsaved, text)
}

func (s *store) flush() {
	if len(s.unsaved) > 0 {
		if err := s.log.Append(s.unsaved); err != nil {
			s.fail(err)
			return
		}
		s.unsaved = nil
	}
	pending := s.pending
	s.pending = nil
	for _, done := range pending {
		done()
	}
}

func (s *store) tend() {
	for _, entry := range s.tables.voter.Expire(s.clock.Wall()) {
		s.note(record{Entry: &entry})
	}
	s.flush()
	view := s.tables.view
	limit := checkpointAt(slices.Index(view.Members, s.self), len(view.Members))
	if !s.tables.isTrusted {
		// What is read in a repair would be written several times over.
		limit = repairBytes
	}
	if s.log.Grown() >= limit && len(s.unsaved) == 0 {
		s.checkpoint()
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
func (s *store) checkpoint() {
	if !s.isWriting.CompareAndSwap(false, true) {
		return
	}
	write, err := s.log.Roll()
	if err != nil {
		s.isWriting.Store(false)
		s.fail(err)
		return
	}
	records := s.tables.snapshot()
	texts := func(yield func([]byte) bool) {
		for r := range records {
			if text, err := cbor.Marshal(r); err == nil && !yield(text) {
				return
			}
		}
	}
	go func() {
		defer s.isWriting.Store(false)
		if err := write(texts); err != nil {
			s.fail(err)
		}
	}()
}
