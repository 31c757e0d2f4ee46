package balancer

import "sync"

// CanaryAllowance limits the requests that one node sends to a canary version to a
// share of its own requests for the service, counted from when the canary started on this
// node. As every node keeps to its share, so does the sum over all nodes.
type CanaryAllowance struct {
	mu          sync.Mutex
	number      uint64
	credit      float64
	sentByRoute map[string]int
}

const (
	// overrepresentedCredit is the credit that a request of an overrepresented route
	// requires, so that rare routes reach the canary version as well.
	overrepresentedCredit = 2.5
	// maxRouteLead is the number of requests by which a route may lead the least sent
	// route before it counts as overrepresented.
	maxRouteLead = 2
)

// Take records a request for the service and reports whether it goes to the canary
// version. A share of 1 or more sends every request there.
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
