// Package standin holds what tests and the quick start put in place of the
// world outside: a disk that loses power, servers, a platform, an operator.
package standin

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"sort"

	"github.com/juju/errors"

	"ploverhitch/internal/storage"
)

// Disk is a disk in memory that can lose power and refuse writes. After a loss
// of power a file holds what its last sync covered; what was written after that
// is there, absent or torn. Each file that was made, renamed or removed since the
// last sync of the folder is kept or lost by itself.
type Disk struct {
	Random *rand.Rand
	// IsRefusing makes every write and sync fail.
	IsRefusing bool
	// PowerFor, if it is above 0, is how many more operations the disk does before
	// the power goes: that one is done in part, and all after it fail until LosePower.
	PowerFor int
	isDark   bool
	files    map[string]*diskFile
	// lasting is the folder as it was synced, pending what was done to it since.
	lasting map[string]*diskFile
	pending []func(map[string]*diskFile)
}

type diskFile struct {
	synced, written []byte
}

// NewDisk makes an empty disk.
//
// Example:
//
//	disk := standin.NewDisk(rand.New(rand.NewPCG(1, 2)))
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{Random: random, files: map[string]*diskFile{}, lasting: map[string]*diskFile{}}
}

var errRefused = errors.New("the disk refuses")

// LosePower cuts every file back to what is certain, and leaves a random part
// of the rest.
//
// Example:
//
//	disk.LosePower()
func (d *Disk) LosePower() {
	folder := maps.Clone(d.lasting)
	for _, change := range d.pending {
		if d.Random.IntN(2) == 0 {
			change(folder)
		}
	}
	d.files, d.lasting, d.pending = folder, maps.Clone(folder), nil
	d.isDark, d.PowerFor = false, 0
	for _, file := range d.files {
		file.losePower(d.Random)
	}
}

func (f *diskFile) losePower(random *rand.Rand) {
	if !bytes.HasPrefix(f.written, f.synced) {
		f.written = f.synced
		return
	}
	rest := append([]byte(nil), f.written[len(f.synced):]...)
	switch cut := random.IntN(3); {
	case len(rest) == 0 || cut == 0:
		rest = nil
	case cut == 1:
		rest = rest[:random.IntN(len(rest)+1)]
	default:
		for i := random.IntN(len(rest)); i < len(rest); i++ {
			rest[i] = 0
		}
	}
	// What was found is still not certain: the next loss may take it.
	f.written = append(append([]byte(nil), f.synced...), rest...)
}

// refuses counts an operation, and tells whether it fails; where the power goes
// within it, a part of it may be done.
func (d *Disk) refuses() (isRefused, isInPart bool) {
	if d.IsRefusing || d.isDark {
		return true, false
	}
	if d.PowerFor == 0 {
		return false, false
	}
	d.PowerFor--
	d.isDark = d.PowerFor == 0
	return d.isDark, d.isDark && d.Random.IntN(2) == 0
}

// change does something to the folder that lasts once the folder is synced.
func (d *Disk) change(act func(map[string]*diskFile)) error {
	isRefused, isInPart := d.refuses()
	if !isRefused || isInPart {
		act(d.files)
		d.pending = append(d.pending, act)
	}
	if isRefused {
		return errRefused
	}
	return nil
}

// Wipe empties the disk.
//
// Example:
//
//	disk.Wipe()
func (d *Disk) Wipe() {
	d.files, d.lasting, d.pending = map[string]*diskFile{}, map[string]*diskFile{}, nil
}

// Spoil changes one byte of a file.
//
// Example:
//
//	disk.Spoil("segment-0000000000000001", 12)
func (d *Disk) Spoil(name string, at int) { d.files[name].written[at] ^= 0xff }

// Lose takes a file away, as a fault of the disk would.
//
// Example:
//
//	disk.Lose("segment-0000000000000002")
func (d *Disk) Lose(name string) {
	delete(d.files, name)
	delete(d.lasting, name)
}

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

// Open opens a file for reading.
//
// Example:
//
//	file, err := disk.Open("segment-0000000000000001")
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	file := d.files[name]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(append([]byte(nil), file.written...))), nil
}

// Create makes an empty file.
//
// Example:
//
//	file, err := disk.Create("segment-0000000000000001")
func (d *Disk) Create(name string) (storage.File, error) {
	file := &diskFile{}
	err := d.change(func(folder map[string]*diskFile) { folder[name] = file })
	return &openFile{d, file}, err
}

// Truncate cuts a file, and lasts.
//
// Example:
//
//	err := disk.Truncate("segment-0000000000000001", 12)
func (d *Disk) Truncate(name string, size int64) error {
	isRefused, isInPart := d.refuses()
	if isRefused && !isInPart {
		return errRefused
	}
	file := d.files[name]
	file.written = append([]byte(nil), file.written[:size]...)
	file.synced = file.written
	if isRefused {
		return errRefused
	}
	return nil
}

// Rename renames a file.
//
// Example:
//
//	err := disk.Rename("a.new", "a")
func (d *Disk) Rename(from, to string) error {
	file := d.files[from]
	return d.change(func(folder map[string]*diskFile) {
		delete(folder, from)
		folder[to] = file
	})
}

// Remove removes a file.
//
// Example:
//
//	err := disk.Remove("a")
func (d *Disk) Remove(name string) error {
	return d.change(func(folder map[string]*diskFile) { delete(folder, name) })
}

// SyncDir makes last what was made, renamed and removed.
//
// Example:
//
//	err := disk.SyncDir()
func (d *Disk) SyncDir() error {
	isRefused, isInPart := d.refuses()
	if isRefused && !isInPart {
		return errRefused
	}
	d.lasting, d.pending = maps.Clone(d.files), nil
	if isRefused {
		return errRefused
	}
	return nil
}
