package exploration

import (
	"fmt"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

// The protocols that can be explored.
var (
	// Registry is the agreement on one change of the configuration.
	Registry Protocol = registryProtocol{}
	// ViewChange is the agreement on the view that follows one.
	ViewChange Protocol = viewProtocol{}
)

// numbers are those that the models use; an acceptor names them by their place,
// counted from 1.
var numbers = []membership.Ballot{{}, {Round: 1, Node: "p#1"}, {Round: 1, Node: "q#1"}, {Round: 2, Node: "p#2"}}

func placeOf(number membership.Ballot) uint8 {
	for place, known := range numbers {
		if known == number {
			return uint8(place)
		}
	}
	panic(fmt.Sprint("unknown number ", number))
}

// memberName is the name under which a member answers in the models.
const memberName = "m"

type registryProtocol struct{}

func changeOf(value uint8) registry.Change {
	item := config.Item{ID: config.ID{Class: config.RouteItem, Name: "route"}, Version: config.Version(value)}
	return registry.Change{Index: 1, Items: []config.Item{item}}
}

func (registryProtocol) replica(m acceptor, incarnation uint8) *registry.Replica {
	replica := registry.NewReplica()
	durable := registry.DurableState{Incarnation: uint64(incarnation)}
	durable.Acceptor.Promised, durable.Acceptor.Accepted = numbers[m.Promised], numbers[m.Accepted]
	if m.Value != 0 {
		change := changeOf(m.Value)
		durable.Acceptor.Change = &change
	}
	replica.Restore(durable)
	return replica
}

func (registryProtocol) acceptor(replica *registry.Replica) (m acceptor) {
	held := replica.Acceptor
	m = acceptor{Promised: placeOf(held.Promised), Accepted: placeOf(held.Accepted)}
	if held.Change != nil {
		m.Value = uint8(held.Change.Items[0].Version)
	}
	return m
}

func (r registryProtocol) prepare(m acceptor, incarnation uint8, number membership.Ballot) (after acceptor, isOK bool) {
	replica := r.replica(m, incarnation)
	answer, _ := replica.Promise(registry.Prepare{Index: 1, Ballot: number})
	return r.acceptor(replica), answer.OK
}

func (r registryProtocol) accept(m acceptor, incarnation uint8, number membership.Ballot, value, promisedUnder uint8) (after acceptor, isOK bool) {
	replica := r.replica(m, incarnation)
	accept := registry.Accept{Ballot: number, Change: changeOf(value), Incarnations: map[string]uint64{}}
	if promisedUnder != 0 {
		accept.Incarnations[memberName] = uint64(promisedUnder)
	}
	answer, _ := replica.Accept(memberName, accept)
	return r.acceptor(replica), answer.OK
}

// recorded are peers that give a round the promises and note what it sends.
type recorded struct {
	promises []registry.Promise
	sent     *registry.Change
}

// Prepare gives the promises.
func (r *recorded) Prepare(registry.Prepare) []registry.Promise { return r.promises }

// Accept notes the change.
func (r *recorded) Accept(accept registry.Accept) []registry.Acceptance {
	r.sent = &accept.Change
	return nil
}

func (r registryProtocol) propose(number membership.Ballot, wanted uint8, promises [memberCount]promise) (value uint8, isAny bool) {
	peers := &recorded{}
	for at, p := range promises {
		if !p.IsThere {
			continue
		}
		replica := r.replica(p.Acceptor, p.Incarnation)
		told := registry.Promise{OK: true, Member: fmt.Sprint(at), Incarnation: uint64(p.Incarnation), Acceptor: replica.Acceptor}
		peers.promises = append(peers.promises, told)
	}
	draft := func([]config.Item) (registry.Change, bool) { return changeOf(wanted), true }
	registry.Round{Index: 1, Ballot: number, Majority: majority, Draft: draft}.Run(peers)
	if peers.sent == nil {
		return 0, false
	}
	return uint8(peers.sent.Items[0].Version), true
}

func (r registryProtocol) rebuild(read []acceptor) acceptor {
	var states []registry.State
	for _, m := range read {
		states = append(states, registry.State{OK: true, Acceptor: r.replica(m, 0).Acceptor})
	}
	replica := registry.NewReplica()
	replica.Rebuild(states, 1)
	return r.acceptor(replica)
}
