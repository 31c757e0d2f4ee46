package control

import (
	"errors"
	"time"

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
	// checkTime is the time as of which the proposal at hand is checked.
	checkTime time.Time
}

// build applies the proposals to the item set that precedes the round's change and
// returns the change, if there is one. It is called once a majority has promised.
func (d *roundDraft) build(legacy []config.Item) (change registry.Change, ok bool) {
	n := d.node
	n.store.read(func(t *tables) {
		if t.registry.Next() != d.index {
			return
		}
		d.errs = nil
		set := t.registry.Set
		if d.index == 1 {
			var droppedRoutes []string
			set, droppedRoutes = registry.MigrateLegacy(legacy)
			n.logDroppedRoutes(droppedRoutes)
		}
		batch := t.registry.NewBatch(set, d.check)
		for _, p := range d.proposals {
			d.errs = append(d.errs, d.add(batch, p))
		}
		if d.index == 1 {
			change, ok = set.InitialChange(batch.Draft())
		} else {
			change, ok = batch.Draft().Change()
		}
		d.drafted = true
	})
	return change, ok
}

// add adds a proposal to the batch if it is permitted. It is checked as of the time at
// which its base was learnt: what depends on the time of day was no less restrictive then.
func (d *roundDraft) add(batch *registry.Batch, p *proposal) error {
	d.checkTime = d.node.clock.Wall()
	if p.base == nil {
		return batch.AddUnbound(p.items)
	}
	if p.base.learntAt.Before(d.checkTime) {
		d.checkTime = p.base.learntAt
	}
	return batch.Add(p.items, p.base.index)
}

// checkBase returns a StaleError if this node's configuration shows already that an order
// needs a newer base, so that no round is spent on it.
func (n *node) checkBase(items []config.Item, base *orderBase) (err error) {
	var stale *registry.StaleError
	n.store.read(func(t *tables) {
		if base == nil || base.index >= t.registry.Index {
			return
		}
		draft := &roundDraft{node: n}
		err = draft.add(t.registry.NewBatch(t.registry.Set, draft.check), &proposal{items: items, base: base})
	})
	if errors.As(err, &stale) {
		return err
	}
	return nil
}

func (d *roundDraft) check(configuration config.ItemSet, newer, unseen []config.Item) error {
	return d.node.checkProposal(configuration, newer, unseen, d.checkTime)
}

func (n *node) logDroppedRoutes(names []string) {
	for _, name := range names {
		n.log("warn", "a route stored by an older build shares host and prefix with another and is dropped", "route", name)
	}
}

// reply sends the proposals their results and returns those that wait for another round.
func (d *roundDraft) reply(outcome registry.Outcome) (deferred []*proposal) {
	index := d.index - 1
	if outcome.Decided != nil {
		index = d.index
	}
	for i, p := range d.proposals {
		if errors.Is(d.errs[i], registry.ErrDeferred) {
			deferred = append(deferred, p)
			continue
		}
		p.result <- proposalResult{index, responseError(d.errs[i])}
	}
	return deferred
}

func responseError(err error) error {
	var conflict *registry.ConflictError
	if errors.As(err, &conflict) {
		return apierror.New(apierror.VersionConflict, conflict.Error())
	}
	return err
}

// checkProposal validates the configuration that a proposal would produce, and the
// proposal's own items, as of a time of day.
func (n *node) checkProposal(configuration config.ItemSet, newer, unseen []config.Item, at time.Time) error {
	if err := configuration.CheckChange(newer); err != nil {
		return err
	}
	if err := configuration.CheckRoutes(unseen); err != nil {
		return err
	}
	if err := n.checkSites(configuration); err != nil {
		return err
	}
	return configuration.CheckExtensions(newer, at)
}
