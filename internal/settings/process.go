package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Tune configures the Go runtime for the machine that the settings describe: one
// processor, a soft memory limit and the garbage collection target.
func (s *Settings) Tune() {
	runtime.GOMAXPROCS(1)
	if memoryMB := s.Platform.Limits.MemoryMB; memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / memoryLimitDivisor)
	}
	debug.SetGCPercent(200)
}

// memoryLimitDivisor divides the machine's memory to give the runtime's soft memory
// limit, which live data may exceed. The rest is left for the program text, the
// stacks and the kernel's buffers.
const memoryLimitDivisor = 2

// CatchHangups keeps SIGHUP from ending the process, as it does by default. A program calls it first of
// all. A signal that comes before Watch needs no memory: Watch reads the file when it starts.
func CatchHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Watch reloads the settings file on SIGHUP and polls it for changes once a second,
// until ctx is done. It calls onChange with the settings at its start, since the file may
// have changed after the process read it, and whenever the content has changed. An invalid file leaves the current settings in force and its error is
// passed to onError.
func Watch(ctx context.Context, path string, onChange func(*Settings), onError func(error)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var lastText []byte
	reload := func() {
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, lastText) {
			return
		}
		lastText = text
		set, err := Parse(text)
		if err != nil {
			onError(err)
			return
		}
		onChange(set)
	}
	reload()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		reload()
	}
}
