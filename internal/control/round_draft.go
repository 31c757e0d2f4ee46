package control

import (
	"errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

// roundDraft builds the change that one round proposes from the waiting proposals.
type roundDraft struct {
	node      *node
	proposals []*proposal
	index     registry.Index
	drafted   bool
	errs      []error
}

// build applies the proposals to the item set that precedes the round's change and
// returns the change, if there is one. It is called once a majority has promised.
func (d *roundDraft) build(legacy []config.Item) (change registry.Change, ok bool) {
	n := d.node
	n.store.read(func(t *tables) {
		if t.registry.Next() != d.index {
			return
		}
		set := t.registry.Set
		if d.index == 1 {
			var droppedRoutes []string
			set, droppedRoutes = registry.MigrateLegacy(legacy)
			n.logDroppedRoutes(droppedRoutes)
		}
		draft := set.Draft(n.checkProposal)
		for _, p := range d.proposals {
			d.errs = append(d.errs, draft.Add(p.items))
		}
		if d.index == 1 {
			change, ok = set.InitialChange(draft)
		} else {
			change, ok = draft.Change()
		}
		d.drafted = true
	})
	return change, ok
}

func (n *node) logDroppedRoutes(names []string) {
	for _, name := range names {
		n.log("warn", "a route stored by an older build shares host and prefix with another and is dropped", "route", name)
	}
}

// reply sends each proposal its result.
func (d *roundDraft) reply(outcome registry.Outcome) {
	index := d.index - 1
	if outcome.Decided != nil {
		index = d.index
	}
	for i, p := range d.proposals {
		p.result <- proposalResult{index, responseError(d.errs[i])}
	}
}

func responseError(err error) error {
	var conflict *registry.ConflictError
	if errors.As(err, &conflict) {
		return apierror.New(apierror.VersionConflict, conflict.Error())
	}
	return err
}

// checkProposal validates the configuration that a proposal would produce, and the
// proposal's own items.
func (n *node) checkProposal(configuration config.ItemSet, newer, unseen []config.Item) error {
	if err := configuration.CheckChange(newer); err != nil {
		return err
	}
	if err := configuration.CheckRoutes(unseen); err != nil {
		return err
	}
	if err := n.checkSites(configuration); err != nil {
		return err
	}
	return configuration.CheckExtensions(newer, n.clock.Wall())
}
