package registry_test

import (
	"fmt"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

func route(name string, version config.Version, prefix, service string) config.Item {
	body := fmt.Sprintf(`{"Name":%q,"PathPrefix":%q,"RouteType":"safe","Timeout":"1s","Service":%q,"Revision":"r%d"}`, name, prefix, service, version)
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: version, Host: "h.example", Body: []byte(body)}
}

func service(name string, version config.Version) config.Item {
	return config.Item{ID: config.ID{Class: config.ServiceItem, Name: name}, Version: version, Body: []byte(fmt.Sprintf(`{"Name":%q,"Revision":"r%d"}`, name, version))}
}

func removal(name string, version config.Version) config.Item {
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: version, Removed: true}
}

// check is the part of the program's validation that needs only the items.
func check(itemSet config.ItemSet, _, unseen []config.Item) error {
	if err := itemSet.Check(); err != nil {
		return err
	}
	return itemSet.CheckRoutes(unseen)
}

// cluster is a set of replicas that respond at once, except the unreachable ones.
type cluster struct {
	replicas    map[string]*registry.Replica
	unreachable map[string]bool
}

func newCluster(names ...string) *cluster {
	c := &cluster{replicas: map[string]*registry.Replica{}, unreachable: map[string]bool{}}
	for _, name := range names {
		c.replicas[name] = registry.NewReplica()
	}
	return c
}

func (c *cluster) Prepare(prepare registry.Prepare) (promises []registry.Promise) {
	for name, replica := range c.replicas {
		if !c.unreachable[name] {
			promise, _ := replica.Promise(prepare)
			promise.Member = name
			promises = append(promises, promise)
		}
	}
	return promises
}

func (c *cluster) Accept(accept registry.Accept) (acceptances []registry.Acceptance) {
	for name, replica := range c.replicas {
		if !c.unreachable[name] {
			acceptance, _ := replica.Accept(name, accept)
			acceptances = append(acceptances, acceptance)
		}
	}
	return acceptances
}

// propose runs one round with a proposal, based on the set of the named replica.
func (c *cluster) propose(from string, ballot membership.Ballot, items ...config.Item) (outcome registry.Outcome, err error) {
	set := c.replicas[from].Set
	round := registry.Round{Index: set.Index + 1, Ballot: ballot, Majority: 2, Draft: func([]config.Item) (registry.Change, bool) {
		draft := set.Draft(check)
		err = draft.Add(items)
		return draft.Change()
	}}
	outcome = round.Run(c)
	if outcome.Decided != nil {
		for name, replica := range c.replicas {
			if !c.unreachable[name] {
				replica.Learn(*outcome.Decided)
			}
		}
	}
	return outcome, err
}
