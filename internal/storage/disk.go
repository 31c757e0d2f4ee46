// Package storage stores a process's records on disk in a segmented log with
// checkpoints. A record is durable once Append has returned without an error.
package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// File is an open file to which data is appended.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Disk is the directory that contains a log. Tests use an implementation that simulates
// loss of power.
type Disk interface {
	List() ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates an empty file and replaces any file of that name. Like a rename or
	// a removal, this is durable only once the directory is synced.
	Create(name string) (File, error)
	// Truncate truncates and syncs a file, even if it already has the given size.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes all earlier creations, renames and removals durable.
	SyncDir() error
}

type directory string

// OpenDir returns the directory at the path as a Disk and creates it if necessary.
func OpenDir(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Annotate(err, "create data directory")
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
