// Package storage keeps a process's records on disk: a log in segments, with
// checkpoints beside it. A record is kept once Append has returned.
package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// File is one open file that grows at its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Disk is the folder that a log lives in; tests have one that loses power.
type Disk interface {
	List() ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create makes an empty file in place of any of that name. That it is there,
	// like a renaming or a removal, lasts only once the folder is synced.
	Create(name string) (File, error)
	// Truncate cuts a file and syncs it, at the size that it has, too.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes last what was made, renamed and removed before.
	SyncDir() error
}

type directory string

// Folder is a disk's folder, made if it is not there.
//
// Example:
//
//	disk, err := storage.Folder("/var/lib/ploverhitch")
func OpenDir(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Annotate(err, "data folder")
	}
	return directory(path), nil
}

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

func (d directory) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return errors.Trace(err)
	}
	defer dir.Close()
	return errors.Trace(dir.Sync())
}

func (d directory) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, errors.Trace(err)
}

func (d directory) Open(name string) (io.ReadCloser, error) {
	file, err := os.Open(d.path(name))
	return file, errors.Trace(err)
}

func (d directory) Create(name string) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	return file, errors.Trace(err)
}

func (d directory) Truncate(name string, size int64) error {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if err = file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func (d directory) Rename(from, to string) error {
	return errors.Trace(os.Rename(d.path(from), d.path(to)))
}

func (d directory) Remove(name string) error { return errors.Trace(os.Remove(d.path(name))) }
