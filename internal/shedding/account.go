package shedding

import (
	"maps"
	"slices"
)

// Account is what the window shows of one service and tier, for operators to read.
type Account struct {
	Service string `json:"Service"`
	Tier    Tier   `json:"Tier"`
	Offered uint32 `json:"Offered"`
	Shed    uint32 `json:"Shed"`
	Sent    uint32 `json:"Sent"`
	Turned  uint32 `json:"Turned"`
	Late    uint32 `json:"Late"`
	IsKeyed bool   `json:"IsKeyed"`
}

// Accounts are the windows of all services, by tier.
//
// Example:
//
//	for _, account := range gauge.Accounts() { print(account) }
func (g *Gauge) Accounts() (out []Account) {
	g.turn()
	for _, service := range slices.Sorted(maps.Keys(g.columns)) {
		var sum []Load
		for _, rows := range g.columns[service].rows {
			for _, loads := range rows {
				sum = Sum(sum, loads)
			}
		}
		slices.SortFunc(sum, func(a, z Load) int { return int(a.Tier) - int(z.Tier) })
		for _, l := range sum {
			out = append(out, Account(l))
		}
	}
	return out
}
