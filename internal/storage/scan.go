package storage

import (
	"bufio"
	"fmt"
	"io"

	"github.com/juju/errors"
)

// Damage is a place of a file that was kept once and cannot be read.
type Damage struct {
	File   string
	Offset int64
	Reason string
}

// String names the place and what is wrong with it.
//
// Example:
//
//	note("error", "damage", "at", damage)
func (d Damage) String() string { return fmt.Sprintf("%s at byte %d: %s", d.File, d.Offset, d.Reason) }

// scan is one reading of a file.
type scan struct {
	disk   Disk
	name   string
	replay func(record []byte) error
	// offset is the place reached: the end of the last whole batch, once it is over.
	offset int64
	// isTorn says that the file ends in something that is no batch, isUnreadable that
	// the disk does not give the file.
	torn, unreadable bool
	// isEnded says that the last batch was the mark of a checkpoint's end.
	endMarked bool
	damages   []Damage
}

// scanFile gives each record of a file to replay. It goes on behind what it cannot
// read and reports that as damage; a break with nothing whole behind it is only
// marked as a torn end, which the caller judges.
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

// open opens the file at the place reached.
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

// read goes through whole batches until the end of the file, for which it returns
// io.EOF, or the first that is broken.
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

// take gives one record to replay. One that replay refuses is damage: the bytes are
// as they were written, and yet no record.
func (s *scan) replayRecord(record []byte) error {
	if err := s.replay(record); err != nil {
		s.recordDamage(err)
	}
	return nil
}

// find looks for the next whole batch behind the place reached.
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
