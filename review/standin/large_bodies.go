package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["3"] = largeBodies }

const (
	memoryMB    = 284
	bodyBytes   = 64<<20 - 1024
	uploadCount = 4
	roundCount  = 3
)

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// limitMemory does what the platform does: a process over MemoryMb is killed, and
// restarted after a short delay. It counts the kills and ends when stop is closed.
func (c *cluster) limitMemory(m *machine, kills *int, peak *int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		cmd := m.procs["proxy"]
		memory := memoryOf(cmd.Process.Pid)
		*peak = max(*peak, memory)
		if memory <= memoryMB {
			continue
		}
		c.rec.logf("platform: proxy on %s (process %d) has %d MB, over MemoryMb = %d: killed", m.name, cmd.Process.Pid, memory, memoryMB)
		*kills++
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
		time.Sleep(300 * time.Millisecond)
		if err := c.startRole(m, "proxy"); err != nil {
			c.rec.logf("platform: %v", err)
			return
		}
	}
}

// largeBodies: clients send bodies that are within MaxBodyBytes, several at once.
func largeBodies(c *cluster, trouble bool) (bool, error) {
	if _, err := c.addServer("i-fees", "fees", 2); err != nil {
		return false, err
	}
	if _, err := c.addServer("i-notes", "notes", 8); err != nil {
		return false, err
	}
	if err := c.startAll(2, strings.ReplaceAll(feesConfiguration, `"Timeout":"1500ms"`, `"Timeout":"6000ms"`)); err != nil {
		return false, err
	}
	kills, peaks := make([]int, 2), make([]int, 2)
	stop := make(chan struct{})
	var watchers, clients sync.WaitGroup
	for number, edge := range c.edges {
		watchers.Go(func() { c.limitMemory(edge, &kills[number], &peaks[number], stop) })
	}
	body := strings.Repeat("x", bodyBytes)
	// Another client's keyed operation is at work on edge-1 when the bodies arrive.
	const otherKey, otherTarget = "fee-1", "/fee/enrol?work=2500"
	clients.Go(func() { c.send(c.edges[0], "POST", otherTarget, otherKey, "seat=7", 6*time.Second) })
	time.Sleep(200 * time.Millisecond)
	for round := range roundCount {
		for number, edge := range c.edges {
			for upload := range uploadCount {
				upload := func() {
					c.send(edge, "POST", "/note/add?work=5", fmt.Sprintf("note-%d-%d-%d", round, number, upload), body, 6*time.Second)
				}
				if trouble {
					clients.Go(upload)
				} else {
					upload()
				}
			}
		}
		clients.Wait()
		for _, edge := range c.edges {
			for !isReady(edge) {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	// The other client tries its key again. This is recorded, and not part of the check.
	for range 3 {
		c.send(c.edges[1], "POST", otherTarget, otherKey, "seat=7", time.Second)
		time.Sleep(time.Second)
	}
	close(stop)
	watchers.Wait()
	c.rec.logf("peak memory of the proxies: %v MB, kills: %v", peaks, kills)
	return min(kills[0], kills[1]) >= 3, nil
}
