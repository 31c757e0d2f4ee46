package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

// readAttempts is the maximum number of attempts to read the configuration while the view or
// the configuration changes concurrently.
const readAttempts = 3

// readConfig is a linearizable read of the configuration: the result has every change that
// was acknowledged before the call, as confirmed by a majority of the view.
func (n *node) readConfig() (configuration config.ItemSet, err error) {
	for range readAttempts {
		if configuration, err = n.readConfigOnce(); err == nil {
			return configuration, nil
		}
	}
	return nil, err
}

// readConfigOnce makes one attempt at a linearizable read.
func (n *node) readConfigOnce() (config.ItemSet, error) {
	view, count := n.view(), 0
	highest, source := registry.State{}, ""
	var newer *membership.View
	undecided := false
	callAll(n, view.Members, messages.KindReplicaState, messages.ReplicaState{Epoch: view.Epoch}, callTimeout, func(member string, state registry.State) bool {
		if state.View != nil && (newer == nil || state.View.Epoch > newer.Epoch) {
			newer = state.View
		}
		if !state.OK {
			return false
		}
		if count++; source == "" || state.Index > highest.Index {
			highest, source, undecided = state, member, false
		}
		undecided = undecided || state.Index == highest.Index && state.Acceptor.Change != nil
		return count >= view.Majority()
	})
	if newer != nil {
		n.adoptView(*newer)
	}
	if count < view.Majority() || count == 0 {
		return nil, apierror.New(apierror.ControlPlaneUnavailable, "reading the configuration")
	}
	if undecided {
		// A change that some members have accepted may already be decided and
		// acknowledged; complete it before reading.
		index, err := n.commit(&order{caller: internalCaller{}})
		if err != nil {
			return nil, err
		}
		highest.Index = max(highest.Index, index)
	}
	return n.readConfigAt(highest.Index, source)
}

// readConfigAt returns a copy of the configuration once this node has reached the index. It
// fetches missing changes from the given member first, then from the others: the first may
// lack a change that was decided during the read.
func (n *node) readConfigAt(index registry.Index, member string) (configuration config.ItemSet, err error) {
	sources := append([]string{member}, n.view().Members...)
	for _, source := range sources {
		held := registry.Index(0)
		n.store.read(func(t *tables) { held, configuration = t.registry.Index, t.configuration().Clone() })
		if held >= index {
			return configuration, nil
		}
		if source != n.self {
			err = n.catchUp(source)
		}
	}
	return nil, apierror.New(apierror.ControlPlaneUnavailable, fmt.Sprintf("reading the configuration at index %d: %v", index, err))
}

// rebuild restores this replica after its state was lost or became outdated. Afterwards it
// has every change that a majority decided, and knows what a majority promised or accepted
// for the next one.
func (r *configReplicator) rebuild(view membership.View) bool {
	n := r.node
	var states []registry.State
	var sources []string
	complete := 0
	callAll(n, view.Members, messages.KindReplicaState, messages.ReplicaState{Epoch: view.Epoch}, callTimeout, func(member string, state registry.State) bool {
		if member == n.self || !state.OK && !state.Rebuilding {
			return false
		}
		if states, sources = append(states, state), append(sources, member); state.OK {
			complete++
		}
		return false
	})
	// If all other members have answered, no member is left that could know more.
	if allAnswered := len(states) == len(view.Members)-1; complete < view.ReadQuorum() && !allAnswered {
		return false
	}
	for _, member := range sources {
		if err := n.catchUp(member); err != nil {
			return false
		}
	}
	rebuilt := false
	n.store.persist(func(t *tables) []record {
		if t.view.Epoch != view.Epoch {
			return nil
		}
		rebuilt = t.registry.Rebuild(states, rand.Uint64())
		return durableRecord(t, rebuilt)
	}, 5*time.Second)
	return rebuilt
}
