package main

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// replicaGroup is a set of replicas in one process. Every message is encoded and decoded, and
// bytes counts the encoded size.
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

// roundTrip encodes and decodes a message, as if it were sent between two processes.
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

// Prepare sends the message to every replica and returns the responses.
func (g *replicaGroup) Prepare(prepare registry.Prepare) (out []registry.Promise) {
	for number, replica := range g.replicas {
		promise, _ := replica.Promise(roundTrip(g, prepare))
		promise.Member = memberName(number)
		out = append(out, roundTrip(g, promise))
	}
	return out
}

// Accept sends the message to every replica and returns the responses.
func (g *replicaGroup) Accept(accept registry.Accept) (out []registry.Acceptance) {
	for number, replica := range g.replicas {
		acceptance, _ := replica.Accept(memberName(number), roundTrip(g, accept))
		out = append(out, roundTrip(g, acceptance))
	}
	return out
}

func memberName(number int) string { return fmt.Sprintf("10.1.0.%d:7200", number) }

// measureAgreement measures the agreement of size members on one change of a route: the
// bytes of all messages and the time of all members without disk syncs.
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

// measureDraft measures the validation of one change against an item set of size routes.
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
