package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	segmentPrefix    = "segment-"
	checkpointPrefix = "checkpoint-"
	unfinishedSuffix = ".new"
)

func segmentName(number uint64) string    { return fmt.Sprintf(segmentPrefix+"%016x", number) }
func checkpointName(number uint64) string { return fmt.Sprintf(checkpointPrefix+"%016x", number) }

// files lists the files of a log, sorted by number.
type files struct {
	checkpoints, segments []uint64
	// unfinished contains the names of checkpoints that were not completely written.
	unfinished []string
}

func listFiles(disk Disk) (found files, err error) {
	names, err := disk.List()
	if err != nil {
		return found, errors.Trace(err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, checkpointPrefix) && strings.HasSuffix(name, unfinishedSuffix) {
			found.unfinished = append(found.unfinished, name)
		}
		if number, ok := parseNumber(name, checkpointPrefix); ok {
			found.checkpoints = append(found.checkpoints, number)
		}
		if number, ok := parseNumber(name, segmentPrefix); ok {
			found.segments = append(found.segments, number)
		}
	}
	slices.Sort(found.checkpoints)
	slices.Sort(found.segments)
	return found, nil
}

func parseNumber(name, prefix string) (number uint64, ok bool) {
	text, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil
}

// segmentsFrom returns the segments from the number on.
func (f files) segmentsFrom(number uint64) []uint64 {
	index, _ := slices.BinarySearch(f.segments, number)
	return f.segments[index:]
}

// createFile durably creates an empty file.
func createFile(disk Disk, name string) (File, error) {
	file, err := disk.Create(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err = file.Sync(); err == nil {
		err = disk.SyncDir()
	}
	if err != nil {
		_ = file.Close()
		return nil, errors.Trace(err)
	}
	return file, nil
}
