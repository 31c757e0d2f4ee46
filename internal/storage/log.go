package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"iter"
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"
)

const (
	headBytes    = 8
	segmentBytes = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is a log in segments. Append has one caller at a time.
type Log struct {
	disk   Disk
	file   File
	number uint64
	// good is how far the open segment is known to be kept.
	good int64
	// isTorn says that what follows good must be cut before going on.
	isTorn bool
	// isDamaged says that records which were once kept cannot be read.
	isDamaged bool

	lock  sync.Mutex
	grown int64
}

func segmentName(number uint64) string    { return fmt.Sprintf("segment-%016x", number) }
func checkpointName(number uint64) string { return fmt.Sprintf("checkpoint-%016x", number) }

// Open reads what the disk holds, gives every record to replay in the order in
// which it was kept, cuts a torn tail, and starts a new segment. What was found
// is synced before it is relied on: a process that was killed between a write
// and its sync left records that the next loss of power could still take.
//
// Example:
//
//	log, err := storage.Open(disk, func(record []byte) error { return tables.Apply(record) })
func Open(disk Disk, replay func(record []byte) error) (*Log, error) {
	names, err := disk.List()
	if err != nil {
		return nil, errors.Trace(err)
	}
	sort.Strings(names)
	checkpoint, segments := uint64(0), []uint64{}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, "checkpoint-%016x", &number); err == nil && !strings.HasSuffix(name, ".new") {
			checkpoint = max(checkpoint, number)
		}
		if _, err := fmt.Sscanf(name, "segment-%016x", &number); err == nil {
			segments = append(segments, number)
		}
	}
	l := &Log{disk: disk, number: checkpoint}
	if checkpoint > 0 {
		text, err := disk.Read(checkpointName(checkpoint))
		if err != nil {
			return nil, errors.Trace(err)
		}
		whole, err := each(text, replay)
		if err != nil {
			return nil, err
		}
		l.isDamaged = whole != len(text)
	}
	for i, number := range segments {
		if number < checkpoint {
			continue
		}
		text, err := disk.Read(segmentName(number))
		if err != nil {
			return nil, errors.Trace(err)
		}
		whole, err := each(text, replay)
		if err != nil {
			return nil, err
		}
		if i != len(segments)-1 {
			l.isDamaged = l.isDamaged || whole != len(text)
		} else if err = disk.Truncate(segmentName(number), int64(whole)); err != nil {
			return nil, errors.Trace(err)
		}
		l.number, l.grown = number, l.grown+int64(whole)
	}
	return l, l.next()
}

// IsDamaged tells whether records which were once kept could not be read: what
// was read may then lack some, and the node must not rely on it alone.
//
// Example:
//
//	if log.IsDamaged() { rebuildFromOthers() }
func (l *Log) IsDamaged() bool { return l.isDamaged }

// each gives the whole records at the start of the text to replay and returns
// how many bytes they take.
func each(text []byte, replay func([]byte) error) (whole int, err error) {
	for len(text)-whole >= headBytes {
		size := int(binary.BigEndian.Uint32(text[whole:]))
		sum := binary.BigEndian.Uint32(text[whole+4:])
		from := whole + headBytes
		if size == 0 || size > len(text)-from || crc32.Checksum(text[from:from+size], castagnoli) != sum {
			return whole, nil
		}
		if err = replay(text[from : from+size]); err != nil {
			return whole, errors.Trace(err)
		}
		whole = from + size
	}
	return whole, nil
}

func pack(out []byte, records [][]byte) []byte {
	for _, record := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = binary.BigEndian.AppendUint32(out, crc32.Checksum(record, castagnoli))
		out = append(out, record...)
	}
	return out
}

func (l *Log) next() error {
	file, err := l.disk.Create(segmentName(l.number + 1))
	if err != nil {
		return errors.Trace(err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.number, l.good, l.isTorn = file, l.number+1, 0, false
	return nil
}

// Append keeps the records: on nil they are on disk; on an error they may or
// may not be, and the caller offers them again before anything later.
//
// Example:
//
//	if err := log.Append(records); err == nil { answerAll() }
func (l *Log) Append(records [][]byte) error {
	if l.isTorn {
		if err := l.disk.Truncate(segmentName(l.number), l.good); err != nil {
			return errors.Trace(err)
		}
		if err := l.next(); err != nil {
			return errors.Trace(err)
		}
	}
	text := pack(nil, records)
	_, err := l.file.Write(text)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.isTorn = true
		return errors.Trace(err)
	}
	l.good += int64(len(text))
	l.lock.Lock()
	l.grown += int64(len(text))
	l.lock.Unlock()
	if l.good >= segmentBytes {
		if err := l.next(); err != nil {
			l.isTorn = true
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
func (l *Log) Grown() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.grown
}

// Roll starts a new segment and returns the closure that writes the checkpoint
// of all before it, which may run beside further Appends.
//
// Example:
//
//	write, err := log.Roll()
//	records := tables.Records()
//	go write(slices.Values(records))
func (l *Log) Roll() (write func(records iter.Seq[[]byte]) error, err error) {
	if l.isTorn {
		return nil, errors.NotValidf("checkpoint on a torn log")
	}
	if err := l.next(); err != nil {
		return nil, errors.Trace(err)
	}
	number := l.number
	l.lock.Lock()
	l.grown = 0
	l.lock.Unlock()
	return func(records iter.Seq[[]byte]) error { return l.checkpoint(number, records) }, nil
}
