package main

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// members are replicas that a round reaches through the bytes of its messages.
type replicaGroup struct {
	replicas []*registry.Replica
	bytes    int
}

func newReplicaGroup(count int) *replicaGroup {
	group := &replicaGroup{}
	for range count {
		group.replicas = append(group.replicas, registry.NewReplica())
	}
	return group
}

// carry writes a message and reads it again, as between two processes.
func roundTrip[T any](group *replicaGroup, message T) (out T) {
	encoded, err := cbor.Marshal(message)
	if err == nil {
		err = cbor.Unmarshal(encoded, &out)
	}
	if err != nil {
		panic(err)
	}
	group.bytes += len(encoded)
	return out
}

// Prepare carries the message to every replica and its answer back.
func (group *replicaGroup) Prepare(prepare registry.Prepare) (out []registry.Promise) {
	for number, replica := range group.replicas {
		promise, _ := replica.Promise(roundTrip(group, prepare))
		promise.Member = memberName(number)
		out = append(out, roundTrip(group, promise))
	}
	return out
}

// Accept carries the message to every replica and its answer back.
func (group *replicaGroup) Accept(accept registry.Accept) (out []registry.Acceptance) {
	for number, replica := range group.replicas {
		acceptance, _ := replica.Accept(memberName(number), roundTrip(group, accept))
		out = append(out, roundTrip(group, acceptance))
	}
	return out
}

func memberName(number int) string { return fmt.Sprintf("10.1.0.%d:7200", number) }

// agree decides one order for a route among so many members: the bytes of all its
// messages, and the work of all of them without the syncs.
func measureAgreement(size int) result {
	group := newReplicaGroup(size)
	items := itemSetOf(40).Items()
	revision := config.Version(1)
	change := func() {
		group.bytes = 0
		revision++
		item := items[int(revision)%len(items)]
		item.Version = revision
		round := registry.Round{
			Epoch: 1, Index: group.replicas[0].Next(), Majority: size/2 + 1,
			Ballot: membership.Ballot{Round: uint64(revision), Node: "10.1.0.1:7200#1a2b3c4d5e6f7"},
			Draft: func([]config.Item) (registry.Change, bool) {
				draft := group.replicas[0].Draft(func(config.ItemSet, []config.Item, []config.Item) error { return nil })
				if err := draft.Add([]config.Item{item}); err != nil {
					panic(err)
				}
				return draft.Change()
			},
		}
		outcome := round.Run(group)
		for _, replica := range group.replicas {
			replica.Learn(roundTrip(group, messages.Learn{From: memberName(0), Changes: []registry.Change{*outcome.Decided}}).Changes[0])
		}
	}
	took := averageTime(change)
	return result{group.bytes, took}
}

// draft checks one order against a set of so many routes.
func measureDraft(size int) result {
	replica := registry.NewReplica()
	items := itemSetOf(size).Items()
	for service := range 40 {
		id := config.ID{Class: config.ServiceItem, Name: fmt.Sprint("service-", service)}
		items = append(items, config.Item{ID: id, Version: 1, Body: []byte(`{}`)})
	}
	replica.Learn(registry.Change{Index: 1, Items: items})
	check := func(whole config.ItemSet, _, unseen []config.Item) error {
		if err := whole.Check(); err != nil {
			return err
		}
		return whole.CheckRoutes(unseen)
	}
	revision := config.Version(1)
	return result{0, averageTime(func() {
		revision++
		item := items[0]
		item.Version = revision
		if err := replica.Draft(check).Add([]config.Item{item}); err != nil {
			panic(err)
		}
	})}
}
