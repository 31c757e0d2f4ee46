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

// Tune fits the Go runtime to the machine that the settings describe.
//
// Example:
//
//	set.Tune()
func (s *Settings) Tune() {
	runtime.GOMAXPROCS(1)
	if memoryMB := s.Platform.Limits.MemoryMB; memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / memoryLimitDivisor)
	}
	debug.SetGCPercent(200)
}

// heapPart is the part of the machine's memory, as its divisor, that the runtime
// keeps to as long as what is alive permits. The rest is for the program itself, the
// stacks and the kernel's buffers.
const memoryLimitDivisor = 2

// Watch calls changed with new settings after a SIGHUP or a change of the
// file, which is looked at once a second; a wrong file changes nothing and is
// reported to failed.
//
// Example:
//
//	go settings.Watch(ctx, path, apply, report)
func Watch(ctx context.Context, path string, onChange func(*Settings), onError func(error)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	lastText, _ := os.ReadFile(path)
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
