// Package control is the control plane process. It stores configuration items, intents
// and membership views on disk, votes on intents and configuration changes, agrees with
// the other members on the membership, and takes part in the election of the leader.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/codec"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/storage"
)

// command is an operation on the store. apply reads and changes the tables and returns
// the records to persist; done runs once these and all earlier records are persisted.
type command struct {
	apply func(*tables) []record
	done  func()
}

// store owns the tables and the log. The commands of a batch share one disk sync.
type store struct {
	loop   *clock.Loop[command]
	tables *tables
	log    *storage.Log
	clock  clock.Clock
	// unwritten holds encoded records that are not in the log yet, for example because
	// the disk fails; callbacks run only once all of them are written.
	unwritten   [][]byte
	callbacks   []func()
	reportError func(error)
	// checkpointing is true while a checkpoint is being written; there is one at a time.
	checkpointing atomic.Bool
	// self is this node's address in the membership view.
	self string
}

func openStore(disk storage.Disk, policy idempotency.Policy, timeSource clock.Clock, reportError func(error)) (*store, error) {
	s := &store{loop: clock.NewLoop[command](4096), tables: newTables(policy), clock: timeSource, reportError: reportError}
	log, err := storage.Open(disk, func(data []byte) error {
		var r record
		if err := codec.Unmarshal(data, &r); err != nil {
			return errors.Annotate(err, "cannot decode a log record")
		}
		s.tables.apply(r)
		return nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if s.log = log; len(log.Damages()) > 0 {
		// The readable records stay valid, but the node is treated as one that lost
		// its disk: it votes again only after it has rebuilt its state.
		reportError(errors.New("log records cannot be read; the node rebuilds its state from the other members"))
		for _, damage := range log.Damages()[:min(len(log.Damages()), maxLoggedDamages)] {
			reportError(errors.Errorf("damaged log record (%d in total): %s", len(log.Damages()), damage))
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

// read runs fn with the tables and waits until it has run.
func (s *store) read(fn func(*tables)) {
	done := make(chan struct{})
	s.enqueue(func(t *tables) []record { fn(t); return nil }, func() { close(done) })
	<-done
}

// persist runs apply and waits until the records that it returns are persisted. It
// returns false if the timeout expires first.
func (s *store) persist(apply func(*tables) []record, timeout time.Duration) bool {
	done := make(chan struct{})
	s.enqueue(apply, func() { close(done) })
	return closedWithin(done, timeout)
}

// closedWithin waits for the channel to be closed and reports whether that happened
// within the timeout.
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

// maxLoggedDamages is how many damaged log records are reported individually.
const maxLoggedDamages = 20

const (
	maintenanceInterval = 250 * time.Millisecond
	checkpointLogBytes  = 24 << 20
	// repairLogBytes is how large the log may grow while a member rebuilds its state.
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
	data, err := codec.Marshal(r)
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
	for _, entry := range s.tables.voter.Expire(s.clock.SteadyWall()) {
		s.stage(record{Entry: &entry})
	}
	s.flush()
	view := s.tables.view
	limit := checkpointThreshold(slices.Index(view.Members, s.self), len(view.Members))
	if !s.tables.trusted {
		// Checkpoints at the usual size would write the state read in a rebuild
		// several times over.
		limit = repairLogBytes
	}
	if s.log.BytesSinceCheckpoint() >= limit && len(s.unwritten) == 0 {
		s.checkpoint()
	}
}

// checkpointThreshold returns how large the log of the member at a position in the
// view may grow before a checkpoint is written. All members store the same data, so
// the threshold depends on the position: checkpoints written at the same time would
// delay the syncs of a majority, and with them its votes and its published updates.
func checkpointThreshold(position, members int) int64 {
	if position < 0 {
		return checkpointLogBytes
	}
	return checkpointLogBytes - int64(checkpointLogBytes/2*position/members)
}

// checkpoint starts a new segment and writes all earlier state in a goroutine, unless
// the previous checkpoint is still being written.
func (s *store) checkpoint() {
	if !s.checkpointing.CompareAndSwap(false, true) {
		return
	}
	write, err := s.log.StartCheckpoint()
	if err != nil {
		s.checkpointing.Store(false)
		s.reportError(err)
		return
	}
	records := s.tables.snapshot()
	encoded := func(yield func([]byte) bool) {
		for r := range records {
			if data, err := codec.Marshal(r); err == nil && !yield(data) {
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
