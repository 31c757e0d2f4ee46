package storage

import (
	"iter"
	"slices"
	"sync"

	"github.com/juju/errors"
)

const maxSegmentBytes = 8 << 20

// Log is a log in segments. Append has one caller at a time.
type Log struct {
	disk    Disk
	file    File
	segment uint64
	// good is how far the open segment is known to be kept.
	syncedBytes int64
	// isTorn says that what follows good must be cut before going on.
	torn bool
	// damages are the places that were kept once and cannot be read.
	damages []Damage

	lock                 sync.Mutex
	bytesSinceCheckpoint int64
}

// Open reads what the disk holds, gives every record to replay in the order in
// which it was kept, cuts a torn tail, and starts a new segment. What was found
// is synced before it is relied on: a process that was killed between a write
// and its sync left records that the next loss of power could still take. A record
// that replay refuses, and whatever else cannot be read, is damage and does not
// keep the log from opening.
//
// Example:
//
//	log, err := storage.Open(disk, func(record []byte) error { return tables.Apply(record) })
func Open(disk Disk, replay func(record []byte) error) (*Log, error) {
	found, err := listFiles(disk)
	if err != nil {
		return nil, err
	}
	l := &Log{disk: disk}
	first := max(l.replayCheckpoint(found, replay), 1)
	l.segment = first - 1
	segments := found.segmentsFrom(first)
	for index, number := range segments {
		if number != l.segment+1 {
			l.recordMissing(l.segment + 1)
		}
		l.segment = number
		if err := l.replaySegment(number, index == len(segments)-1, replay); err != nil {
			return nil, err
		}
	}
	if len(segments) == 0 && first > 1 {
		// The checkpoint's own segment was made before it.
		l.recordMissing(first)
		l.segment = first
	}
	return l, l.openNextSegment()
}

func (l *Log) recordMissing(number uint64) {
	l.damages = append(l.damages, Damage{File: segmentName(number), Reason: "the segment is missing"})
}

// replayCheckpoint reads the newest checkpoint that is whole and returns the number
// of the first segment behind it. A newer one that is not whole is passed over if
// the segments since the older one are there; if no checkpoint is whole, what can
// be read of the newest counts, as damage.
func (l *Log) replayCheckpoint(found files, replay func([]byte) error) (first uint64) {
	if len(found.checkpoints) == 0 {
		return 0
	}
	number := l.newestComplete(found.checkpoints)
	result := scanFile(l.disk, checkpointName(number), replay)
	l.damages = append(l.damages, result.damages...)
	if !result.endMarked || result.torn {
		l.damages = append(l.damages, Damage{File: checkpointName(number), Offset: result.offset, Reason: "the checkpoint is not whole"})
	}
	return number
}

// newestWhole is the newest checkpoint that is whole, or the newest of all. Where
// there is only one, it is not read for that: nothing could take its place.
func (l *Log) newestComplete(checkpoints []uint64) uint64 {
	newest := checkpoints[len(checkpoints)-1]
	if len(checkpoints) == 1 {
		return newest
	}
	for _, number := range slices.Backward(checkpoints) {
		if scanFile(l.disk, checkpointName(number), func([]byte) error { return nil }).complete() {
			return number
		}
	}
	return newest
}

// isWhole tells whether a checkpoint was read from its beginning to its end.
func (s *scan) complete() bool {
	return s.endMarked && !s.torn && !s.unreadable && len(s.damages) == 0
}

// replaySegment reads one segment. Only the newest may end in a write that did not
// finish, which is cut off.
func (l *Log) replaySegment(number uint64, newest bool, replay func([]byte) error) error {
	name := segmentName(number)
	result := scanFile(l.disk, name, replay)
	l.damages = append(l.damages, result.damages...)
	l.bytesSinceCheckpoint += result.offset
	if result.torn && !newest {
		l.damages = append(l.damages, Damage{File: name, Offset: result.offset, Reason: errBroken.Error()})
	}
	if !newest || result.unreadable {
		return nil
	}
	return errors.Trace(l.disk.Truncate(name, result.offset))
}

// Damages lists the places that were kept once and could not be read: what was read
// may then lack some, and the node must not rely on it alone.
//
// Example:
//
//	if len(log.Damages()) > 0 { rebuildFromOthers() }
func (l *Log) Damages() []Damage { return l.damages }

func (l *Log) openNextSegment() error {
	file, err := createFile(l.disk, segmentName(l.segment+1))
	if err != nil {
		return errors.Trace(err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.segment, l.syncedBytes, l.torn = file, l.segment+1, 0, false
	return nil
}

// Append keeps the records: on nil they are on disk; on an error they may or
// may not be, and the caller offers them again before anything later.
//
// Example:
//
//	if err := log.Append(records); err == nil { answerAll() }
func (l *Log) Append(records [][]byte) error {
	if l.torn {
		if err := l.disk.Truncate(segmentName(l.segment), l.syncedBytes); err != nil {
			return errors.Trace(err)
		}
		if err := l.openNextSegment(); err != nil {
			return errors.Trace(err)
		}
	}
	batch := appendBatch(nil, records)
	_, err := l.file.Write(batch)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.torn = true
		return errors.Trace(err)
	}
	l.syncedBytes += int64(len(batch))
	l.lock.Lock()
	l.bytesSinceCheckpoint += int64(len(batch))
	l.lock.Unlock()
	if l.syncedBytes >= maxSegmentBytes {
		if err := l.openNextSegment(); err != nil {
			l.torn = true
		}
	}
	return nil
}

// Grown tells how many bytes a start would have to read beyond the newest
// checkpoint.
//
// Example:
//
//	if log.Grown() > 32<<20 { begin(log) }
func (l *Log) BytesSinceCheckpoint() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.bytesSinceCheckpoint
}

// Roll starts a new segment and returns the closure that writes the checkpoint
// of all before it, which may run beside further Appends.
//
// Example:
//
//	write, err := log.Roll()
//	records := tables.Records()
//	go write(slices.Values(records))
func (l *Log) StartCheckpoint() (write func(records iter.Seq[[]byte]) error, err error) {
	if l.torn {
		return nil, errors.NotValidf("checkpoint on a torn log")
	}
	if err := l.openNextSegment(); err != nil {
		return nil, errors.Trace(err)
	}
	number := l.segment
	l.lock.Lock()
	l.bytesSinceCheckpoint = 0
	l.lock.Unlock()
	return func(records iter.Seq[[]byte]) error { return l.checkpoint(number, records) }, nil
}
