package shedding

import (
	"maps"
	"slices"
)

// Account contains the load counts of one service and tier over the window, for
// operators.
type Account struct {
	Service  string `json:"Service"`
	Tier     Tier   `json:"Tier"`
	Offered  uint32 `json:"Offered"`
	Shed     uint32 `json:"Shed"`
	Sent     uint32 `json:"Sent"`
	Rejected uint32 `json:"Turned"`
	Late     uint32 `json:"Late"`
	Keyed    bool   `json:"IsKeyed"`
}

// Accounts returns the load counts of all services over the window, sorted by
// service and tier.
func (c *Controller) Accounts() (out []Account) {
	c.advance()
	for _, service := range slices.Sorted(maps.Keys(c.services)) {
		var sum []Load
		for _, loadsByNode := range c.services[service].loads {
			for _, loads := range loadsByNode {
				sum = Sum(sum, loads)
			}
		}
		slices.SortFunc(sum, func(a, b Load) int { return int(a.Tier) - int(b.Tier) })
		for _, l := range sum {
			out = append(out, Account(l))
		}
	}
	return out
}
