package viewchange

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
)

// The invariants of a run.
var (
	// ErrVoteLost: enough members that do not hold a vote which a majority gave could grant it again.
	ErrVoteLost = errors.New("a majority could grant a key that was granted before")
	// ErrNotServing: the core does not serve Recovery after the last machine is back.
	ErrNotServing = errors.New("no majority of trusted members serves within Recovery")
	// ErrUnstable: the view changed more often than machines were lost.
	ErrUnstable = errors.New("the view changed more often than members were lost")
)

// Report is what an exploration came to.
type Report struct {
	// Schedules is how many schedules were played, Steps how many steps in all of them, and
	// Changes how many view changes.
	Schedules, Steps, Changes int
	// Err is the first broken invariant, with its schedule.
	Err error
}

// Explore plays all schedules of a plan and stops at the first that breaks an invariant.
func Explore(plan Plan, policy Policy) Report {
	var report Report
	var lock sync.Mutex
	var workers sync.WaitGroup
	schedules := make(chan Schedule)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for schedule := range schedules {
				played, err := play(plan.Members, policy, schedule)
				lock.Lock()
				report.Schedules++
				report.Steps += int(played.now)
				report.Changes += played.changes
				if err != nil && report.Err == nil {
					report.Err = fmt.Errorf("%s%w", schedule, err)
				}
				lock.Unlock()
			}
		})
	}
	plan.schedules(func(schedule Schedule) {
		lock.Lock()
		broken := report.Err != nil
		lock.Unlock()
		if !broken {
			schedules <- schedule
		}
	})
	close(schedules)
	workers.Wait()
	return report
}

// play plays one schedule and checks the invariants.
func play(members int, policy Policy, schedule Schedule) (*run, error) {
	r := newRun(members, policy, schedule)
	for end := schedule.lastReturn() + recoverySteps; r.now <= end; {
		r.step(schedule)
		if r.mayGrantTwice() {
			return r, ErrVoteLost
		}
	}
	if r.leader() == nil {
		return r, ErrNotServing
	}
	if r.changes > len(schedule) {
		return r, ErrUnstable
	}
	return r, nil
}

// mayGrantTwice reports whether a majority of some node's view could vote without a holder.
func (r *run) mayGrantTwice() bool {
	for _, n := range r.nodes {
		without := 0
		for _, other := range r.trusted(n) {
			if !other.holdsVote {
				without++
			}
		}
		if n.isUp(r.now) && without >= n.view.Majority() {
			return true
		}
	}
	return false
}
