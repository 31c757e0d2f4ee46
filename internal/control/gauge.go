package control

import (
	"context"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/shedding"
)

func (n *node) isGauging() bool { return n.settings.Load().Tuning.Loadgauge == settings.GaugeOn }

// heldSpan is how fresh the last holder's cutoffs must be to be gone on from.
const heldSpan = 5 * time.Second

// takeGauge begins to measure under this node's term, from the cutoffs that the
// last holder told a moment ago.
func (c *coordinator) takeGauge() {
	c.gauge = shedding.NewGauge(c.clock, rand.Uint64)
	c.store.read(func(t *tables) {
		if t.fleetFresh(c.clock.Monotonic(), heldSpan) {
			c.gauge.Hold(t.fleet.Cutoffs)
		}
	})
}

// measure decides on the cutoffs, and tells whether they have changed.
func (c *coordinator) measure() bool {
	return c.isGauging() && c.gauge.Decide(c.strained)
}

// strained is the part of a service's ready servers that are overloaded.
func (c *coordinator) strained(service string) float64 {
	var group []string
	for _, server := range c.listed {
		if server.Service == service && server.IsReady {
			group = append(group, server.ID)
		}
	}
	return c.court.Strained(group)
}

func (c *coordinator) cutoffs() []shedding.Cutoff {
	if !c.isGauging() {
		return nil
	}
	return c.gauge.Cutoffs()
}

// sheds tells whether this member refuses its vote for a new intent, as the
// service is overloaded. An intent that exists is never asked about: its replay,
// its resuming and its record go on.
func (t *tables) sheds(wanted idempotency.Intent, now clock.Instant) bool {
	if len(t.fleet.Cutoffs) == 0 || !t.fleetFresh(now, feed.GrantDuration) || t.voter.Find(wanted.Key) != nil {
		return false
	}
	for _, cutoff := range t.fleet.Cutoffs {
		if cutoff.Service == wanted.Service && cutoff.Sheds(t.compiledBook().Order.TierOf(wanted.Route), wanted.Key.Tenant, wanted.Key.Key) {
			return true
		}
	}
	return false
}

// LoadPage is the order of tiers, the cutoffs in force, and, at the holder of the
// duty, the load that they were decided on.
type LoadPage struct {
	Mode     string             `json:"Mode"`
	Order    []shedding.Rung    `json:"Order"`
	Cutoffs  []shedding.Cutoff  `json:"Cutoffs"`
	Accounts []shedding.Account `json:"Accounts"`
	IsHolder bool               `json:"IsHolder"`
	Holder   string             `json:"Holder"`
}

func (n *node) loadPoint(context.Context, any) (any, error) {
	c := n.coordinator
	page := LoadPage{Mode: n.settings.Load().Tuning.Loadgauge, Order: []shedding.Rung{}, Cutoffs: []shedding.Cutoff{}, Accounts: []shedding.Account{}, Holder: n.leader()}
	runAndWait(c.loop, func() {
		if page.IsHolder = c.isMaster(); page.IsHolder {
			page.Accounts = append(page.Accounts, c.gauge.Accounts()...)
		}
	})
	n.store.read(func(t *tables) {
		page.Order = append(page.Order, t.compiledBook().Order.Rungs()...)
		if t.fleetFresh(n.clock.Monotonic(), feed.GrantDuration) {
			page.Cutoffs = append(page.Cutoffs, t.fleet.Cutoffs...)
		}
	})
	return page, nil
}
