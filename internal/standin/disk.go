// Package standin holds what tests and the quick start put in place of the
// world outside: a disk that loses power, servers, a platform, an operator.
package standin

import (
	"math/rand/v2"
	"os"
	"sort"

	"github.com/juju/errors"

	"ploverhitch/internal/storage"
)

// Disk is a disk in memory that can lose power and refuse writes. After a loss
// of power a file holds what its last sync covered; what was written after that
// is there, absent or torn.
type Disk struct {
	Random *rand.Rand
	// IsRefusing makes every write and sync fail.
	IsRefusing bool
	files      map[string]*diskFile
}

type diskFile struct {
	synced, written []byte
}

// NewDisk makes an empty disk.
//
// Example:
//
//	disk := standin.NewDisk(rand.New(rand.NewPCG(1, 2)))
func NewDisk(random *rand.Rand) *Disk { return &Disk{Random: random, files: map[string]*diskFile{}} }

var errRefused = errors.New("the disk refuses")

// LosePower cuts every file back to what is certain, and leaves a random part
// of the rest.
//
// Example:
//
//	disk.LosePower()
func (d *Disk) LosePower() {
	for _, file := range d.files {
		if !isPrefix(file.synced, file.written) {
			file.written = file.synced
			continue
		}
		rest := append([]byte(nil), file.written[len(file.synced):]...)
		switch cut := d.Random.IntN(3); {
		case len(rest) == 0 || cut == 0:
			rest = nil
		case cut == 1:
			rest = rest[:d.Random.IntN(len(rest)+1)]
		default:
			for i := d.Random.IntN(len(rest)); i < len(rest); i++ {
				rest[i] = 0
			}
		}
		// What was found is still not certain: the next loss may take it.
		file.written = append(append([]byte(nil), file.synced...), rest...)
	}
}

func isPrefix(start, whole []byte) bool {
	return len(start) <= len(whole) && string(whole[:len(start)]) == string(start)
}

// Wipe empties the disk.
//
// Example:
//
//	disk.Wipe()
func (d *Disk) Wipe() { d.files = map[string]*diskFile{} }

// Spoil changes one byte of a file.
//
// Example:
//
//	disk.Spoil("segment-0000000000000001", 12)
func (d *Disk) Spoil(name string, at int) { d.files[name].written[at] ^= 0xff }

// List names the files.
//
// Example:
//
//	names, err := disk.List()
func (d *Disk) List() (names []string, err error) {
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Read returns a file's bytes.
//
// Example:
//
//	text, err := disk.Read("segment-0000000000000001")
func (d *Disk) Read(name string) ([]byte, error) {
	file := d.files[name]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), file.written...), nil
}

// Create makes an empty file that lasts.
//
// Example:
//
//	file, err := disk.Create("segment-0000000000000001")
func (d *Disk) Create(name string) (storage.File, error) {
	if d.IsRefusing {
		return nil, errRefused
	}
	d.files[name] = &diskFile{}
	return &openFile{d, d.files[name]}, nil
}

// Truncate cuts a file.
//
// Example:
//
//	err := disk.Truncate("segment-0000000000000001", 12)
func (d *Disk) Truncate(name string, size int64) error {
	if d.IsRefusing {
		return errRefused
	}
	file := d.files[name]
	file.written = append([]byte(nil), file.written[:size]...)
	file.synced = file.written
	return nil
}

// Rename renames a file, and lasts.
//
// Example:
//
//	err := disk.Rename("a.new", "a")
func (d *Disk) Rename(from, to string) error {
	if d.IsRefusing {
		return errRefused
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove removes a file, and lasts.
//
// Example:
//
//	err := disk.Remove("a")
func (d *Disk) Remove(name string) error {
	if d.IsRefusing {
		return errRefused
	}
	delete(d.files, name)
	return nil
}

type openFile struct {
	disk *Disk
	file *diskFile
}

func (o *openFile) Write(text []byte) (int, error) {
	if o.disk.IsRefusing {
		part := o.disk.Random.IntN(len(text) + 1)
		o.file.written = append(o.file.written, text[:part]...)
		return part, errRefused
	}
	o.file.written = append(o.file.written, text...)
	return len(text), nil
}

func (o *openFile) Sync() error {
	if o.disk.IsRefusing {
		return errRefused
	}
	o.file.synced = append([]byte(nil), o.file.written...)
	return nil
}

func (o *openFile) Close() error { return nil }
