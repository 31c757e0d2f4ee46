package main

import (
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// supervisor restarts the processes of the edge machines after a short delay when they
// end, as the platform does, and kills a process whose memory exceeds its limit.
type supervisor struct {
	town *town
	lock sync.Mutex
	// ends counts how often a proxy ended by itself, by the number of its machine.
	ends map[int]int
	stop chan struct{}
	done sync.WaitGroup
}

const restartDelay = 500 * time.Millisecond

func (t *town) supervise(memoryMb int) *supervisor {
	s := &supervisor{town: t, ends: map[int]int{}, stop: make(chan struct{})}
	for _, p := range t.processes {
		if role, number, _ := strings.Cut(p.name, "-"); role == "proxy" {
			n, _ := strconv.Atoi(number)
			s.done.Go(func() { s.watch(p, n, memoryMb) })
		}
	}
	return s
}

func (s *supervisor) watch(p *process, number, memoryMb int) {
	for {
		select {
		case <-s.stop:
			return
		case <-p.ended:
			s.town.record.add("process %s ended by itself: %v", p.name, p.command.ProcessState)
			s.lock.Lock()
			s.ends[number]++
			s.lock.Unlock()
			time.Sleep(restartDelay)
			s.lock.Lock()
			p = s.town.start("proxy", 2, number, false)
			s.lock.Unlock()
		case <-time.After(5 * time.Millisecond):
			if mb := p.residentMb(); mb > memoryMb {
				s.town.record.add("process %s takes %d MB, its limit MemoryMb is %d: the platform kills it", p.name, mb, memoryMb)
				p.signal(syscall.SIGKILL)
				<-p.ended
			}
		}
	}
}

// machinesWith returns how many machines have a proxy that ended at least count times.
func (s *supervisor) machinesWith(count int) (machines int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, ends := range s.ends {
		if ends >= count {
			machines++
		}
	}
	return machines
}

func (s *supervisor) end() {
	close(s.stop)
	s.done.Wait()
}
