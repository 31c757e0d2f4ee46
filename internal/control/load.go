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

// loadControlEnabled reports whether the settings enable load measurement.
func (n *node) loadControlEnabled() bool {
	return n.settings.Load().Tuning.SharedCutoff == settings.SharedCutoffOn
}

// cutoffsMaxAge is how old the last leader's cutoffs may be for a new leader to adopt them.
const cutoffsMaxAge = 5 * time.Second

// resetLoadController starts the load measurement of a new term with the cutoffs that the last
// leader published, if they are recent.
func (c *coordinator) resetLoadController() {
	c.loadController = shedding.NewController(c.clock, rand.Uint64)
	c.store.read(func(t *tables) {
		if t.fleetFresh(c.clock.Monotonic(), cutoffsMaxAge) {
			c.loadController.Restore(t.fleet.Cutoffs)
		}
	})
}

// updateCutoffs decides on the cutoffs and reports whether they have changed.
func (c *coordinator) updateCutoffs() bool {
	return c.loadControlEnabled() && c.loadController.Decide(c.overloadedShare)
}

// overloadedShare returns the share of a service's ready servers that are overloaded.
func (c *coordinator) overloadedShare(service string) float64 {
	var group []string
	for _, server := range c.listedServers {
		if server.Service == service && server.IsReady {
			group = append(group, server.ID)
		}
	}
	return c.detector.OverloadedShare(group)
}

func (c *coordinator) cutoffs() []shedding.Cutoff {
	if !c.loadControlEnabled() {
		return nil
	}
	return c.loadController.Cutoffs()
}

// sheds reports whether this member refuses its vote for a new intent because the service
// is overloaded. Existing intents are never shed, so that they can still be replayed,
// resumed and recorded.
func (t *tables) sheds(intent idempotency.Intent, now clock.Instant) bool {
	if len(t.fleet.Cutoffs) == 0 || !t.fleetFresh(now, feed.GrantDuration) || t.voter.Find(intent.Key) != nil {
		return false
	}
	for _, cutoff := range t.fleet.Cutoffs {
		if cutoff.Service == intent.Service && cutoff.Sheds(t.compiledConfiguration().Order.TierOf(intent.Route), intent.Key.Tenant, intent.Key.Key) {
			return true
		}
	}
	return false
}

// LoadPage contains the order of the tiers, the cutoffs in force and, at the leader, the
// load measurements on which they are based.
type LoadPage struct {
	Mode     string              `json:"Mode"`
	Order    []shedding.TierInfo `json:"Order"`
	Cutoffs  []shedding.Cutoff   `json:"Cutoffs"`
	Accounts []shedding.Account  `json:"Accounts"`
	IsLeader bool                `json:"IsHolder"`
	Leader   string              `json:"Holder"`
}

func (n *node) loadEndpoint(context.Context, any) (any, error) {
	c := n.coordinator
	page := LoadPage{Mode: n.settings.Load().Tuning.SharedCutoff, Order: []shedding.TierInfo{}, Cutoffs: []shedding.Cutoff{}, Accounts: []shedding.Account{}, Leader: n.leader()}
	runAndWait(c.loop, func() {
		if page.IsLeader = c.ensureLeading(); page.IsLeader {
			page.Accounts = append(page.Accounts, c.loadController.Accounts()...)
		}
	})
	n.store.read(func(t *tables) {
		page.Order = append(page.Order, t.compiledConfiguration().Order.Tiers()...)
		if t.fleetFresh(n.clock.Monotonic(), feed.GrantDuration) {
			page.Cutoffs = append(page.Cutoffs, t.fleet.Cutoffs...)
		}
	})
	return page, nil
}
