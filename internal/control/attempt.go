package control

import (
	"errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

// attempt is the draft of one round.
type attempt struct {
	node      *node
	orders    []*order
	index     registry.Index
	isDrafted bool
	errs      []error
}

// draft lays the orders on the set that the round's change follows. It is called
// once a majority has promised.
func (a *attempt) draft(legacy []config.Item) (change registry.Change, isAny bool) {
	n := a.node
	n.store.read(func(t *tables) {
		if t.registry.Next() != a.index {
			return
		}
		set := t.registry.Set
		if a.index == 1 {
			var dropped []string
			set, dropped = registry.Genesis(legacy)
			n.noteDropped(dropped)
		}
		draft := set.Draft(n.checkOrder)
		for _, o := range a.orders {
			a.errs = append(a.errs, draft.Add(o.items))
		}
		if a.index == 1 {
			change, isAny = set.First(draft)
		} else {
			change, isAny = draft.Change()
		}
		a.isDrafted = true
	})
	return change, isAny
}

func (n *node) noteDropped(names []string) {
	for _, name := range names {
		n.note("warn", "a route of an older build shares host and prefix with another and is dropped", "route", name)
	}
}

// answer gives each order what came of it.
func (a *attempt) answer(outcome registry.Outcome) {
	index := a.index - 1
	if outcome.Decided != nil {
		index = a.index
	}
	for i, o := range a.orders {
		o.done <- decision{index, answerOf(a.errs[i])}
	}
}

func answerOf(err error) error {
	var conflict *registry.ConflictError
	if errors.As(err, &conflict) {
		return apierror.New(apierror.VersionTaken, conflict.Error())
	}
	return err
}

// checkOrder checks the set that an order would make, and the order by itself.
func (n *node) checkOrder(whole config.Book, newer, unseen []config.Item) error {
	if err := whole.Check(); err != nil {
		return err
	}
	if err := whole.CheckRoutes(unseen); err != nil {
		return err
	}
	if err := n.checkSites(whole); err != nil {
		return err
	}
	return whole.CheckOwn(newer, n.clock.Wall())
}
