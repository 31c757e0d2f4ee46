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
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: version, Dropped: true}
}

// check is the part of the program's check that needs no more than the items.
func check(whole config.Book, _, unseen []config.Item) error {
	if err := whole.Check(); err != nil {
		return err
	}
	return whole.CheckRoutes(unseen)
}

// cluster is three replicas that answer at once, but for those that are away.
type cluster struct {
	replicas map[string]*registry.Replica
	away     map[string]bool
}

func newCluster(names ...string) *cluster {
	c := &cluster{replicas: map[string]*registry.Replica{}, away: map[string]bool{}}
	for _, name := range names {
		c.replicas[name] = registry.NewReplica()
	}
	return c
}

func (c *cluster) Prepare(prepare registry.Prepare) (out []registry.Promise) {
	for name, replica := range c.replicas {
		if !c.away[name] {
			promise, _ := replica.Promise(prepare)
			promise.Member = name
			out = append(out, promise)
		}
	}
	return out
}

func (c *cluster) Accept(accept registry.Accept) (out []registry.Acceptance) {
	for name, replica := range c.replicas {
		if !c.away[name] {
			acceptance, _ := replica.Accept(name, accept)
			out = append(out, acceptance)
		}
	}
	return out
}

// propose plays one round for an order from one replica's set.
func (c *cluster) propose(from string, ballot membership.Ballot, order ...config.Item) (outcome registry.Outcome, err error) {
	set := c.replicas[from].Set
	round := registry.Round{Index: set.Index + 1, Ballot: ballot, Majority: 2, Draft: func([]config.Item) (registry.Change, bool) {
		draft := set.Draft(check)
		err = draft.Add(order)
		return draft.Change()
	}}
	outcome = round.Run(c)
	if outcome.Decided != nil {
		for name, replica := range c.replicas {
			if !c.away[name] {
				replica.Learn(*outcome.Decided)
			}
		}
	}
	return outcome, err
}
