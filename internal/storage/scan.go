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
	isTorn, isUnreadable bool
	// isEnded says that the last batch was the mark of a checkpoint's end.
	isEnded bool
	damages []Damage
}

// scanFile gives each record of a file to replay. It goes on behind what it cannot
// read and reports that as damage; a break with nothing whole behind it is only
// marked as a torn end, which the caller judges.
func scanFile(disk Disk, name string, replay func(record []byte) error) *scan {
	s := &scan{disk: disk, name: name, replay: replay}
	if s.readLegacy() {
		return s
	}
	s.isTorn, s.isEnded = false, false
	for {
		err := s.read()
		if err == io.EOF {
			return s
		}
		if !errors.Is(err, errBroken) {
			s.damage(err)
			s.isUnreadable = true
			return s
		}
		next, isFound := s.find()
		if !isFound {
			s.isTorn = true
			return s
		}
		s.damage(err)
		s.offset = next
	}
}

func (s *scan) damage(err error) {
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
func (s *scan) read() error {
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
		s.isEnded = len(body) == 0
		if err := eachRecord(body, s.take); err != nil {
			s.damage(err)
		}
		s.offset += int64(headBytes + len(body))
	}
}

// take gives one record to replay. One that replay refuses is damage: the bytes are
// as they were written, and yet no record.
func (s *scan) take(record []byte) error {
	if err := s.replay(record); err != nil {
		s.damage(err)
	}
	return nil
}

// find looks for the next whole batch behind the place reached.
func (s *scan) find() (at int64, isFound bool) {
	file, err := s.open()
	if err != nil {
		return 0, false
	}
	defer file.Close()
	text, _ := io.ReadAll(file)
	if len(text) == 0 {
		return 0, false
	}
	place := findBatch(text[1:])
	return s.offset + 1 + int64(place), place >= 0
}
