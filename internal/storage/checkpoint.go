package storage

import (
	"iter"
	"strings"
	"time"

	"github.com/juju/errors"
)

// pieceBytes is how much of a checkpoint is laid out at a time: all of it at once
// would take as much memory again as the tables.
const pieceBytes = 256 << 10

// pieceRest lies between two pieces, each synced by itself: the log's own syncs, on
// which votes and news wait, would stand behind a checkpoint written at once.
const pieceRest = 10 * time.Millisecond

func writeAll(file File, records iter.Seq[[]byte]) error {
	text := make([]byte, 0, pieceBytes)
	for record := range records {
		if text = pack(text, [][]byte{record}); len(text) < pieceBytes {
			continue
		}
		if _, err := file.Write(text); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		time.Sleep(pieceRest)
		text = text[:0]
	}
	_, err := file.Write(text)
	return err
}

func (l *Log) checkpoint(number uint64, records iter.Seq[[]byte]) error {
	name := checkpointName(number)
	file, err := l.disk.Create(name + ".new")
	if err != nil {
		return errors.Trace(err)
	}
	if err = writeAll(file, records); err == nil {
		err = file.Sync()
	}
	_ = file.Close()
	if err != nil {
		return errors.Trace(err)
	}
	if err = l.disk.Rename(name+".new", name); err != nil {
		return errors.Trace(err)
	}
	names, err := l.disk.List()
	if err != nil {
		return errors.Trace(err)
	}
	for _, old := range names {
		if old < name && strings.HasPrefix(old, "checkpoint-") || old < segmentName(number) && strings.HasPrefix(old, "segment-") {
			if err := l.disk.Remove(old); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}
