package storage

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"

	"github.com/juju/errors"
)

// A file is a sequence of batches. A batch consists of a magic number, the size and the
// checksum of its body, and the body: records, each preceded by its size. A batch is
// durable as a whole or not at all, and it is synced before the next one is written.
// A broken batch followed by a valid one was therefore durable once and is damage,
// while one at the end of the newest segment is an unfinished write.
const (
	batchMagic    = 0x70_6c_6f_76
	headerBytes   = 12
	sizeBytes     = 4
	maxBatchBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBroken means that there is no valid batch at an offset.
const errBroken = errors.ConstError("broken batch")

// appendBatch appends a batch with the records to the buffer. A batch without records
// ends a checkpoint.
func appendBatch(buffer []byte, records [][]byte) []byte {
	start, size := len(buffer), headerBytes
	for _, record := range records {
		size += sizeBytes + len(record)
	}
	buffer = append(slices.Grow(buffer, size), make([]byte, headerBytes)...)
	for _, record := range records {
		buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(record)))
		buffer = append(buffer, record...)
	}
	body := buffer[start+headerBytes:]
	binary.BigEndian.PutUint32(buffer[start:], batchMagic)
	binary.BigEndian.PutUint32(buffer[start+4:], uint32(len(body)))
	binary.BigEndian.PutUint32(buffer[start+8:], checksum(body))
	return buffer
}

// checksum covers the size too, so a body of zeros is not mistaken for an empty one.
func checksum(body []byte) uint32 {
	var size [sizeBytes]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(size[:], castagnoli), castagnoli, body)
}

// readBatch reads the next batch and returns its body. It returns io.EOF at the end of
// the file and errBroken if there is no valid batch.
func readBatch(r *bufio.Reader) (contents []byte, err error) {
	var header [headerBytes]byte
	if _, err = io.ReadFull(r, header[:]); err == io.EOF {
		return nil, io.EOF
	}
	size := binary.BigEndian.Uint32(header[4:])
	if err != nil || binary.BigEndian.Uint32(header[:]) != batchMagic || size > maxBatchBytes {
		return nil, batchError(err)
	}
	// The buffer grows with the bytes read, so a wrong size does not allocate memory.
	var body bytes.Buffer
	if _, err = io.CopyN(&body, r, int64(size)); err != nil {
		return nil, batchError(err)
	}
	if checksum(body.Bytes()) != binary.BigEndian.Uint32(header[8:]) {
		return nil, errBroken
	}
	return body.Bytes(), nil
}

// batchError distinguishes a disk error from a premature end of the file.
func batchError(err error) error {
	if err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
		return errBroken
	}
	return errors.Trace(err)
}

// forEachRecord calls visit for each record in the body of a batch.
func forEachRecord(body []byte, visit func([]byte) error) error {
	for len(body) > 0 {
		if len(body) < sizeBytes {
			return errBroken
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[sizeBytes:]
		if size > len(body) {
			return errBroken
		}
		if err := visit(body[:size]); err != nil {
			return err
		}
		body = body[size:]
	}
	return nil
}

// findBatch returns the index of the next valid batch in the data, or -1.
func findBatch(data []byte) int {
	var magic [sizeBytes]byte
	binary.BigEndian.PutUint32(magic[:], batchMagic)
	for start := 0; ; start++ {
		index := bytes.Index(data[start:], magic[:])
		if index < 0 {
			return -1
		}
		start += index
		if _, err := readBatch(bufio.NewReader(bytes.NewReader(data[start:]))); err == nil {
			return start
		}
	}
}
