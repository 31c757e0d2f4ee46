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
	Read(name string) ([]byte, error)
	// Create makes an empty file that lasts: it and its folder are synced.
	Create(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
}

type folder string

// Folder is a disk's folder, made if it is not there.
//
// Example:
//
//	disk, err := storage.Folder("/var/lib/ploverhitch")
func Folder(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Annotate(err, "data folder")
	}
	return folder(path), nil
}

func (f folder) at(name string) string { return filepath.Join(string(f), name) }

func (f folder) sync() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return errors.Trace(err)
	}
	defer dir.Close()
	return errors.Trace(dir.Sync())
}

func (f folder) List() (names []string, err error) {
	entries, err := os.ReadDir(string(f))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, errors.Trace(err)
}

func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

func (f folder) Create(name string) (File, error) {
	file, err := os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err = file.Sync(); err == nil {
		err = f.sync()
	}
	if err != nil {
		_ = file.Close()
		return nil, errors.Trace(err)
	}
	return file, nil
}

func (f folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY, 0)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if err = file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func (f folder) Rename(from, to string) error {
	if err := os.Rename(f.at(from), f.at(to)); err != nil {
		return errors.Trace(err)
	}
	return f.sync()
}

func (f folder) Remove(name string) error {
	if err := os.Remove(f.at(name)); err != nil {
		return errors.Trace(err)
	}
	return f.sync()
}
