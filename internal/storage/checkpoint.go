package storage

import (
	"iter"
	"time"

	"github.com/juju/errors"
)

// checkpointBatchBytes is the size from which a batch of a checkpoint is written.
// Encoding the whole checkpoint at once would take as much memory again as the tables.
const checkpointBatchBytes = 256 << 10

// checkpointBatchPause is the pause between two batches of a checkpoint, which are
// synced separately. The syncs of the log, on which votes and updates wait, would
// otherwise queue behind the whole checkpoint.
const checkpointBatchPause = 10 * time.Millisecond

// writeCheckpoint writes the records in batches, followed by the end marker.
func writeCheckpoint(file File, records iter.Seq[[]byte]) error {
	var batch [][]byte
	bytes := 0
	for record := range records {
		batch = append(batch, record)
		if bytes += len(record); bytes < checkpointBatchBytes {
			continue
		}
		if err := writeBatch(file, batch); err != nil {
			return err
		}
		time.Sleep(checkpointBatchPause)
		batch, bytes = batch[:0], 0
	}
	if len(batch) > 0 {
		if err := writeBatch(file, batch); err != nil {
			return err
		}
	}
	return writeBatch(file, nil)
}

func writeBatch(file File, records [][]byte) error {
	if _, err := file.Write(appendBatch(nil, records)); err != nil {
		return err
	}
	return file.Sync()
}

// checkpoint writes the checkpoint that replaces all segments before the given number,
// and removes those segments once the checkpoint is durable.
func (l *Log) checkpoint(number uint64, records iter.Seq[[]byte]) error {
	name := checkpointName(number)
	file, err := createFile(l.disk, name+unfinishedSuffix)
	if err != nil {
		return errors.Trace(err)
	}
	err = writeCheckpoint(file, records)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Trace(err)
	}
	if err = l.disk.Rename(name+unfinishedSuffix, name); err != nil {
		return errors.Trace(err)
	}
	if err = l.disk.SyncDir(); err != nil {
		return errors.Trace(err)
	}
	return l.removeBefore(number)
}

// removeBefore removes the checkpoints and segments below the number, and all
// unfinished checkpoints.
func (l *Log) removeBefore(number uint64) error {
	existing, err := listFiles(l.disk)
	if err != nil {
		return err
	}
	for _, old := range existing.unfinished {
		if err := l.disk.Remove(old); err != nil {
			return errors.Trace(err)
		}
	}
	for _, old := range existing.checkpoints {
		if old < number {
			if err := l.disk.Remove(checkpointName(old)); err != nil {
				return errors.Trace(err)
			}
		}
	}
	for _, old := range existing.segments {
		if old < number {
			if err := l.disk.Remove(segmentName(old)); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return errors.Trace(l.disk.SyncDir())
}
