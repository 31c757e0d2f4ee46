package control

import (
	"context"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
)

// RolloutStatus is the state of a rollout or staged change that this node stores.
type RolloutStatus struct {
	Phase   string `json:"Phase"`
	InForce string `json:"InForce,omitempty"`
	Target  string `json:"Target,omitempty"`
	Wave    int    `json:"Wave"`
	Reason  string `json:"Reason,omitempty"`
}

// Status is the state of one control node in the operator API.
type Status struct {
	Node      string          `json:"Node"`
	Epoch     uint64          `json:"Epoch"`
	Members   map[string]bool `json:"Members"`
	IsTrusted bool            `json:"IsTrusted"`
	Term      uint64          `json:"Term"`
	Leader    string          `json:"Holder"`
	Items     int             `json:"Items"`
	// Index is the index of the last configuration change that this node has applied.
	// IsUndecided is true if it accepted a further change without knowing whether that
	// was decided.
	Index       uint64         `json:"Index"`
	IsUndecided bool           `json:"IsUndecided"`
	Digest      string         `json:"Digest"`
	Servers     int            `json:"Servers"`
	Followers   []string       `json:"Followers"`
	Intents     map[string]int `json:"Intents"`
	// Lagging is the largest number of intents that this node lacked in its last
	// comparison with another member.
	Lagging int `json:"Lagging"`
	// Quota holds the open and consumed reservations of each route.
	Quota        map[string]idempotency.Usage `json:"Quota"`
	OldestOpenMs int64                        `json:"OldestOpenMs"`
	Versions     map[string]string            `json:"Versions"`
	// Rollouts holds the rollouts and staged changes by subject.
	Rollouts map[string]RolloutStatus `json:"Trials"`
	// QuorumAgeMs is the time since this node last reached a majority of its view, -1 if
	// it has not reached one yet.
	QuorumAgeMs int64 `json:"QuorumAgeMs"`
	// ListAgeMs is the time since the start of the last complete read of the platform's
	// server list that this node knows of, -1 if it knows of none.
	ListAgeMs int64       `json:"ListAgeMs"`
	Lease     LeaseStatus `json:"Lease"`
	// Recovery is what this node does to become a member that votes.
	Recovery RecoveryStatus `json:"Recovery"`
}

// LeaseStatus is the leader lease as this node knows it. RemainingMs is 0 at all nodes
// except the holder.
type LeaseStatus struct {
	Holder      string `json:"Holder"`
	Term        uint64 `json:"Term"`
	RemainingMs int64  `json:"RemainingMs"`
}

func (n *node) statusEndpoint(context.Context, any) (any, error) {
	status := Status{Node: n.self, Followers: n.hub.Followers(), Members: map[string]bool{}, Versions: map[string]string{}, Rollouts: map[string]RolloutStatus{}}
	n.store.read(func(t *tables) {
		status.Epoch, status.IsTrusted, status.Term, status.Leader = uint64(t.view.Epoch), t.trusted, t.term.Number, t.term.Holder
		status.Index, status.IsUndecided = uint64(t.registry.Index), t.registry.Acceptor.Change != nil
		status.Items, status.Digest = len(t.configuration()), t.configurationDigest()
		for _, item := range t.configuration().Items() {
			if text, err := item.Version.MarshalText(); err == nil {
				status.Versions[item.ID.Name] = string(text)
			}
		}
		counts, oldest := t.voter.CountByState(n.clock.SteadyWall())
		status.Quota = t.voter.Quota().Usage()
		status.Intents, status.OldestOpenMs = counts, oldest.Milliseconds()
		status.Lagging = n.lag.largest(t.view)
		for subject, state := range t.rollouts {
			status.Rollouts[subject] = RolloutStatus{state.Phase.String(), state.CurrentVersion, state.TargetVersion, state.Wave, state.Reason}
		}
		for _, member := range t.view.Members {
			status.Members[member] = member == n.self
		}
	})
	n.runInMemberLoop(func() {
		for member := range status.Members {
			status.Members[member] = status.Members[member] || n.livenessWatch.IsLive(member)
		}
	})
	status.Servers = len(n.fleet().Servers)
	status.QuorumAgeMs, status.Lease = ageMs(n.contact.age(n.clock.Monotonic())), n.leaseStatus(status)
	status.ListAgeMs, status.Recovery = ageMs(n.listReads.age(n.clock.Monotonic())), n.recovery.status(n.clock.Monotonic())
	return status, nil
}

// ageMs converts an age to milliseconds, and an unknown one to -1.
func ageMs(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return age.Milliseconds()
}

func (n *node) leaseStatus(status Status) LeaseStatus {
	lease := LeaseStatus{Holder: status.Leader, Term: status.Term}
	if status.Leader == n.self {
		lease.RemainingMs = n.lease.remaining(status.Term, n.clock.Monotonic()).Milliseconds()
	}
	return lease
}

// FleetPage lists the servers of the fleet that the leader last published.
type FleetPage struct {
	Term    uint64        `json:"Term"`
	Servers []feed.Server `json:"Servers"`
}

func (n *node) fleetEndpoint(context.Context, any) (any, error) {
	fleet := n.fleet()
	return FleetPage{Term: fleet.Term, Servers: fleet.Servers}, nil
}
