package storage

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// legacyHeaderBytes is the length of a record's header, its size and its checksum, in
// files written by versions without batches.
const legacyHeaderBytes = 8

// readLegacy reads a file of a version without batches, record by record, and reports
// whether the file has that format. It reads the whole file into memory, which happens
// only until the first start of a newer version has rewritten the files.
func (s *scan) readLegacy() (legacy bool) {
	file, err := s.disk.Open(s.name)
	if err != nil {
		return false
	}
	defer file.Close()
	var start [sizeBytes]byte
	if _, err = io.ReadFull(file, start[:]); err != nil || binary.BigEndian.Uint32(start[:]) == batchMagic {
		return false
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return false
	}
	data := append(start[:], rest...)
	for {
		record := legacyRecord(data[s.offset:])
		if record == nil {
			break
		}
		_ = s.replayRecord(record)
		s.offset += int64(legacyHeaderBytes + len(record))
	}
	s.torn = s.offset < int64(len(data))
	s.endMarked = !s.torn
	return s.offset > 0
}

// legacyRecord returns the complete record at the start of the data, or nil.
func legacyRecord(data []byte) []byte {
	if len(data) < legacyHeaderBytes {
		return nil
	}
	size, recordSum := int(binary.BigEndian.Uint32(data)), binary.BigEndian.Uint32(data[4:])
	data = data[legacyHeaderBytes:]
	if size == 0 || size > len(data) || crc32.Checksum(data[:size], castagnoli) != recordSum {
		return nil
	}
	return data[:size]
}
