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

// A file holds batches, one after the other. A batch is a mark, the size and the
// checksum of its body, and the body: records, each with its size before it. A batch
// is kept whole or not at all, and one is synced before the next is written, so that
// a broken batch with a whole one after it was kept once and is damage, while one
// at the end of the newest segment is a write that did not finish.
const (
	batchMagic    = 0x70_6c_6f_76
	headerBytes   = 12
	sizeBytes     = 4
	maxBatchBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBroken says that what stands at a place is no whole batch.
const errBroken = errors.ConstError("broken batch")

// packBatch appends a batch of the records. One without records ends a checkpoint.
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

// checksum covers the size too: a body of zeros does not pass for an empty one.
func checksum(body []byte) uint32 {
	var size [sizeBytes]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(size[:], castagnoli), castagnoli, body)
}

// readBatch reads the next batch and returns its body. io.EOF stands for the end of
// the file, errBroken for anything that is no whole batch.
func readBatch(r *bufio.Reader) (contents []byte, err error) {
	var header [headerBytes]byte
	if _, err = io.ReadFull(r, header[:]); err == io.EOF {
		return nil, io.EOF
	}
	size := binary.BigEndian.Uint32(header[4:])
	if err != nil || binary.BigEndian.Uint32(header[:]) != batchMagic || size > maxBatchBytes {
		return nil, batchError(err)
	}
	// The buffer grows with what is there: a wrong size must not take its memory.
	var body bytes.Buffer
	if _, err = io.CopyN(&body, r, int64(size)); err != nil {
		return nil, batchError(err)
	}
	if checksum(body.Bytes()) != binary.BigEndian.Uint32(header[8:]) {
		return nil, errBroken
	}
	return body.Bytes(), nil
}

// brokenBy keeps an error of the disk apart from an end that came too soon.
func batchError(err error) error {
	if err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
		return errBroken
	}
	return errors.Trace(err)
}

// eachRecord gives the records of a batch's body to take.
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

// findBatch is where in the text the next whole batch begins, or -1.
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
