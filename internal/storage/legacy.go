package storage

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// legacyHeadBytes is the head of a record in the files of builds before batches:
// its size and its checksum.
const legacyHeadBytes = 8

// readLegacy reads a file of an older build, record by record, and tells whether it
// is one. It is read whole into memory: the first start with this build writes the
// files anew.
func (s *scan) readLegacy() (isLegacy bool) {
	file, err := s.disk.Open(s.name)
	if err != nil {
		return false
	}
	defer file.Close()
	var mark [sizeBytes]byte
	if _, err = io.ReadFull(file, mark[:]); err != nil || binary.BigEndian.Uint32(mark[:]) == batchMark {
		return false
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return false
	}
	text := append(mark[:], rest...)
	for {
		record := legacyRecord(text[s.offset:])
		if record == nil {
			break
		}
		_ = s.take(record)
		s.offset += int64(legacyHeadBytes + len(record))
	}
	s.isTorn = s.offset < int64(len(text))
	s.isEnded = !s.isTorn
	return s.offset > 0
}

// legacyRecord is the whole record at the start of the text, or nil.
func legacyRecord(text []byte) []byte {
	if len(text) < legacyHeadBytes {
		return nil
	}
	size, sum := int(binary.BigEndian.Uint32(text)), binary.BigEndian.Uint32(text[4:])
	text = text[legacyHeadBytes:]
	if size == 0 || size > len(text) || crc32.Checksum(text[:size], castagnoli) != sum {
		return nil
	}
	return text[:size]
}
