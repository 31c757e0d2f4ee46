package storage

import (
	"bufio"
	"fmt"
	"io"

	"github.com/juju/errors"
)

// Damage is a position in a file whose data was durable once and cannot be read.
type Damage struct {
	File   string
	Offset int64
	Reason string
}

// String returns the file, the offset and the reason.
func (d Damage) String() string { return fmt.Sprintf("%s at byte %d: %s", d.File, d.Offset, d.Reason) }

// scan is the state of reading one file.
type scan struct {
	disk   Disk
	name   string
	replay func(record []byte) error
	// offset is the current position; after the scan, the end of the last valid batch.
	offset int64
	// torn means that the file ends in data that is no valid batch, unreadable that
	// reading from the disk failed.
	torn, unreadable bool
	// endMarked means that the last batch was the end marker of a checkpoint.
	endMarked bool
	damages   []Damage
}

// scanFile passes each record of a file to replay. It skips data that it cannot read
// and records it as damage. A broken batch without a valid one after it is only marked
// as torn; the caller decides whether that is damage.
func scanFile(disk Disk, name string, replay func(record []byte) error) *scan {
	s := &scan{disk: disk, name: name, replay: replay}
	if s.readLegacy() {
		return s
	}
	s.torn, s.endMarked = false, false
	for {
		err := s.readBatches()
		if err == io.EOF {
			return s
		}
		if !errors.Is(err, errBroken) {
			s.recordDamage(err)
			s.unreadable = true
			return s
		}
		next, found := s.findNextBatch()
		if !found {
			s.torn = true
			return s
		}
		s.recordDamage(err)
		s.offset = next
	}
}

func (s *scan) recordDamage(err error) {
	s.damages = append(s.damages, Damage{File: s.name, Offset: s.offset, Reason: err.Error()})
}

// open opens the file at the current offset.
func (s *scan) open() (io.ReadCloser, error) {
	file, err := s.disk.Open(s.name)
	if err != nil {
		return nil, err
	}
	if _, err = io.CopyN(io.Discard, file, s.offset); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// readBatches reads batches up to the end of the file, for which it returns io.EOF, or
// up to the first broken one.
func (s *scan) readBatches() error {
	file, err := s.open()
	if err != nil {
		return errors.Annotate(err, "unreadable")
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, 64<<10)
	for {
		body, err := readBatch(reader)
		if err != nil {
			return err
		}
		s.endMarked = len(body) == 0
		if err := forEachRecord(body, s.replayRecord); err != nil {
			s.recordDamage(err)
		}
		s.offset += int64(headerBytes + len(body))
	}
}

// replayRecord passes one record to replay. A record that replay rejects is damage: its
// checksum is valid, but its contents are not.
func (s *scan) replayRecord(record []byte) error {
	if err := s.replay(record); err != nil {
		s.recordDamage(err)
	}
	return nil
}

// findNextBatch finds the next valid batch after the current offset.
func (s *scan) findNextBatch() (offset int64, found bool) {
	file, err := s.open()
	if err != nil {
		return 0, false
	}
	defer file.Close()
	data, _ := io.ReadAll(file)
	if len(data) == 0 {
		return 0, false
	}
	index := findBatch(data[1:])
	return s.offset + 1 + int64(index), index >= 0
}
