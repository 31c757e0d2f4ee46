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
	batchMark  = 0x70_6c_6f_76
	headBytes  = 12
	sizeBytes  = 4
	batchLimit = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBroken says that what stands at a place is no whole batch.
const errBroken = errors.ConstError("broken batch")

// packBatch appends a batch of the records. One without records ends a checkpoint.
func packBatch(out []byte, records [][]byte) []byte {
	from, size := len(out), headBytes
	for _, record := range records {
		size += sizeBytes + len(record)
	}
	out = append(slices.Grow(out, size), make([]byte, headBytes)...)
	for _, record := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	body := out[from+headBytes:]
	binary.BigEndian.PutUint32(out[from:], batchMark)
	binary.BigEndian.PutUint32(out[from+4:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[from+8:], checksum(body))
	return out
}

// checksum covers the size too: a body of zeros does not pass for an empty one.
func checksum(body []byte) uint32 {
	var size [sizeBytes]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(size[:], castagnoli), castagnoli, body)
}

// readBatch reads the next batch and returns its body. io.EOF stands for the end of
// the file, errBroken for anything that is no whole batch.
func readBatch(r *bufio.Reader) (body []byte, err error) {
	var head [headBytes]byte
	if _, err = io.ReadFull(r, head[:]); err == io.EOF {
		return nil, io.EOF
	}
	size := binary.BigEndian.Uint32(head[4:])
	if err != nil || binary.BigEndian.Uint32(head[:]) != batchMark || size > batchLimit {
		return nil, brokenBy(err)
	}
	// The buffer grows with what is there: a wrong size must not take its memory.
	var text bytes.Buffer
	if _, err = io.CopyN(&text, r, int64(size)); err != nil {
		return nil, brokenBy(err)
	}
	if checksum(text.Bytes()) != binary.BigEndian.Uint32(head[8:]) {
		return nil, errBroken
	}
	return text.Bytes(), nil
}

// brokenBy keeps an error of the disk apart from an end that came too soon.
func brokenBy(err error) error {
	if err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
		return errBroken
	}
	return errors.Trace(err)
}

// eachRecord gives the records of a batch's body to take.
func eachRecord(body []byte, take func([]byte) error) error {
	for len(body) > 0 {
		if len(body) < sizeBytes {
			return errBroken
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[sizeBytes:]
		if size > len(body) {
			return errBroken
		}
		if err := take(body[:size]); err != nil {
			return err
		}
		body = body[size:]
	}
	return nil
}

// findBatch is where in the text the next whole batch begins, or -1.
func findBatch(text []byte) int {
	var mark [sizeBytes]byte
	binary.BigEndian.PutUint32(mark[:], batchMark)
	for from := 0; ; from++ {
		at := bytes.Index(text[from:], mark[:])
		if at < 0 {
			return -1
		}
		from += at
		if _, err := readBatch(bufio.NewReader(bytes.NewReader(text[from:]))); err == nil {
			return from
		}
	}
}
