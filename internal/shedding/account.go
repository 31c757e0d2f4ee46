package shedding

import (
	"maps"
	"slices"
)

// Account is what the window shows of one service and tier, for operators to read.
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

// Accounts are the windows of all services, by tier.
//
// Example:
//
//	for _, account := range gauge.Accounts() { print(account) }
func (g *Gauge) Accounts() (out []Account) {
	g.advance()
	for _, service := range slices.Sorted(maps.Keys(g.services)) {
		var sum []Load
		for _, loadsByNode := range g.services[service].loads {
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
