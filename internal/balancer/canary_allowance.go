package balancer

import "sync"

// Allowance bounds what one node sends a version on trial to a share of its own
// inquiries for the service, counted from when the trial began here. Each node
// keeping to its share, the sum over all nodes keeps to it too.
type CanaryAllowance struct {
	mu          sync.Mutex
	number      uint64
	credit      float64
	sentByRoute map[string]int
}

const (
	// spare is how much must be left for a lane that was seen often enough, so
	// that rare lanes are seen as well.
	overrepresentedCredit = 2.5
	// ahead is by how much one lane may be seen more than the least seen.
	maxRouteLead = 2
)

// Take notes an inquiry for the service, and tells whether it goes to the
// version on trial. A part of 1 or more takes all.
//
// Example:
//
//	isTrial := allowance.Take(share.Number, share.Part, lane)
func (a *CanaryAllowance) Take(number uint64, share float64, route string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.number != number {
		a.number, a.credit, a.sentByRoute = number, 0, map[string]int{}
	}
	least, found := a.sentByRoute[route], false
	for _, count := range a.sentByRoute {
		if !found || count < least {
			least, found = count, true
		}
	}
	if _, known := a.sentByRoute[route]; !known {
		a.sentByRoute[route] = 0
	}
	a.credit += share
	required := 1.0
	if a.sentByRoute[route] > least+maxRouteLead {
		required = overrepresentedCredit
	}
	if share < 1 && a.credit < required {
		return false
	}
	a.credit = max(0, a.credit-1)
	a.sentByRoute[route]++
	return true
}
