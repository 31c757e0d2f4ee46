// Package logring implements a logger that keeps recent low-level lines in memory and
// writes them only when an error occurs.
package logring

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const maxEntries = 200

type entry struct {
	at      time.Time
	level   log.Level
	text    string
	keyvals []any
}

// Ring is the logger. Lines at or above its level are written immediately; the last
// lines below it are kept, and written before the next error.
type Ring struct {
	lock    sync.Mutex
	level   log.Level
	entries []entry
	writer  *log.Logger
}

// New returns a ring that writes to out. An unknown level counts as warn.
func New(level string, out io.Writer) *Ring {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.WarnLevel
	}
	return &Ring{level: parsed, writer: log.NewWithOptions(out, log.Options{Level: log.DebugLevel, ReportTimestamp: false})}
}

// Log adds a line. An unknown level counts as error.
func (r *Ring) Log(level, text string, keyvals ...any) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.ErrorLevel
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case parsed >= log.ErrorLevel:
		r.dump()
		fallthrough
	case parsed >= r.level:
		r.writer.Log(parsed, text, keyvals...)
	default:
		if len(r.entries) >= maxEntries {
			r.entries = append(r.entries[:0], r.entries[len(r.entries)/2:]...)
		}
		r.entries = append(r.entries, entry{time.Now(), parsed, text, keyvals})
	}
}

// Dump writes the kept lines and removes them.
func (r *Ring) Dump() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.dump()
}

func (r *Ring) dump() {
	for _, e := range r.entries {
		r.writer.Log(e.level, e.text, append([]any{"at", e.at.Format("15:04:05.000")}, e.keyvals...)...)
	}
	r.entries = r.entries[:0]
}
