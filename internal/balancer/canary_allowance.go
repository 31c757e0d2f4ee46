package balancer

import "sync"

// Allowance bounds what one node sends a version on trial to a share of its own
// inquiries for the service, counted from when the trial began here. Each node
// keeping to its share, the sum over all nodes keeps to it too.
type CanaryAllowance struct {
	lock   sync.Mutex
	number uint64
	left   float64
	lanes  map[string]int
}

const (
	// spare is how much must be left for a lane that was seen often enough, so
	// that rare lanes are seen as well.
	spare = 2.5
	// ahead is by how much one lane may be seen more than the least seen.
	ahead = 2
)

// Take notes an inquiry for the service, and tells whether it goes to the
// version on trial. A part of 1 or more takes all.
//
// Example:
//
//	isTrial := allowance.Take(share.Number, share.Part, lane)
func (a *CanaryAllowance) Take(number uint64, part float64, lane string) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.number != number {
		a.number, a.left, a.lanes = number, 0, map[string]int{}
	}
	least, isSeen := a.lanes[lane], false
	for _, count := range a.lanes {
		if !isSeen || count < least {
			least, isSeen = count, true
		}
	}
	if _, isKnown := a.lanes[lane]; !isKnown {
		a.lanes[lane] = 0
	}
	a.left += part
	needed := 1.0
	if a.lanes[lane] > least+ahead {
		needed = spare
	}
	if part < 1 && a.left < needed {
		return false
	}
	a.left = max(0, a.left-1)
	a.lanes[lane]++
	return true
}
