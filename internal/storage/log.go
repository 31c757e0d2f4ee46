package storage

import (
	"iter"
	"slices"
	"sync"

	"github.com/juju/errors"
)

const maxSegmentBytes = 8 << 20

// Log is a segmented log. Append must not be called concurrently.
type Log struct {
	disk    Disk
	file    File
	segment uint64
	// syncedBytes is the length of the open segment that is known to be durable.
	syncedBytes int64
	// torn means that the segment must be truncated to syncedBytes before the next
	// append.
	torn bool
	// damages lists the data that was durable once and cannot be read.
	damages []Damage

	lock                 sync.Mutex
	bytesSinceCheckpoint int64
}

// Open reads the files on the disk, passes every record to replay in the order in
// which it was appended, truncates an unfinished write, and starts a new segment. The
// newest segment is synced before its records are relied on: a process that was killed
// between a write and its sync leaves records that a loss of power could still remove.
// A record that replay rejects, and all other data that cannot be read, is damage and
// does not prevent the log from opening.
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
		// The first segment after a checkpoint is created before the checkpoint.
		l.recordMissing(first)
		l.segment = first
	}
	return l, l.openNextSegment()
}

func (l *Log) recordMissing(number uint64) {
	l.damages = append(l.damages, Damage{File: segmentName(number), Reason: "the segment is missing"})
}

// replayCheckpoint reads the newest complete checkpoint and returns the number of the
// first segment after it. It skips newer incomplete checkpoints; segments missing since
// the older one are damage. If no checkpoint is complete, it replays the readable
// records of the newest one and records damage.
func (l *Log) replayCheckpoint(found files, replay func([]byte) error) (first uint64) {
	if len(found.checkpoints) == 0 {
		return 0
	}
	number := l.newestComplete(found.checkpoints)
	result := scanFile(l.disk, checkpointName(number), replay)
	l.damages = append(l.damages, result.damages...)
	if !result.endMarked || result.torn {
		l.damages = append(l.damages, Damage{File: checkpointName(number), Offset: result.offset, Reason: "the checkpoint is incomplete"})
	}
	return number
}

// newestComplete returns the newest complete checkpoint, or the newest one if none is
// complete. A single checkpoint is not read, because there is no alternative to it.
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

// complete reports whether a checkpoint was read from beginning to end without damage.
func (s *scan) complete() bool {
	return s.endMarked && !s.torn && !s.unreadable && len(s.damages) == 0
}

// replaySegment reads one segment. Only the newest one may end in an unfinished write,
// which is truncated.
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

// Damages lists the data that was durable once and could not be read. If there is any,
// the replayed records may be incomplete, and the node must not rely on them alone.
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

// Append writes the records and syncs them. After an error the records may or may not
// be durable, and the caller must append them again before any later ones.
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

// BytesSinceCheckpoint returns how many bytes a restart has to read after the newest
// checkpoint.
func (l *Log) BytesSinceCheckpoint() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.bytesSinceCheckpoint
}

// StartCheckpoint starts a new segment and returns the function that writes the
// checkpoint of everything before it. The function may run concurrently with Append.
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
