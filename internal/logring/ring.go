// Package logring is the log: a ring in memory that is written out when
// something goes wrong, and little else.
package logring

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const ringLines = 200

type line struct {
	at    time.Time
	level log.Level
	text  string
	pairs []any
}

// Ring keeps the last lines of every level; those at or above its level are
// written at once, and an error brings the ring before it.
type Ring struct {
	lock   sync.Mutex
	level  log.Level
	lines  []line
	writer *log.Logger
}

// New makes a ring that writes to out.
//
// Example:
//
//	ring := logring.New("warn", os.Stderr)
//	ring.Note("info", "a member joined", "member", address)
func New(level string, out io.Writer) *Ring {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.WarnLevel
	}
	return &Ring{level: parsed, writer: log.NewWithOptions(out, log.Options{Level: log.DebugLevel, ReportTimestamp: false})}
}

// Note adds a line.
//
// Example:
//
//	ring.Note("error", "disk", "error", err)
func (r *Ring) Note(level, text string, pairs ...any) {
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
		r.writer.Log(parsed, text, pairs...)
	default:
		if len(r.lines) >= ringLines {
			r.lines = append(r.lines[:0], r.lines[len(r.lines)/2:]...)
		}
		r.lines = append(r.lines, line{time.Now(), parsed, text, pairs})
	}
}

// Dump writes the ring out and empties it.
//
// Example:
//
//	ring.Dump()
func (r *Ring) Dump() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.dump()
}

func (r *Ring) dump() {
	for _, l := range r.lines {
		r.writer.Log(l.level, l.text, append([]any{"at", l.at.Format("15:04:05.000")}, l.pairs...)...)
	}
	r.lines = r.lines[:0]
}
