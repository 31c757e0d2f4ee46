package control

import (
	"context"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
)

// TrialStatus is one trial as this node keeps it.
type TrialStatus struct {
	Phase   string `json:"Phase"`
	InForce string `json:"InForce,omitempty"`
	Target  string `json:"Target,omitempty"`
	Wave    int    `json:"Wave"`
	Reason  string `json:"Reason,omitempty"`
}

// Status is what an operator sees of one node.
type Status struct {
	Node      string          `json:"Node"`
	Epoch     uint64          `json:"Epoch"`
	Members   map[string]bool `json:"Members"`
	IsTrusted bool            `json:"IsTrusted"`
	Term      uint64          `json:"Term"`
	Holder    string          `json:"Holder"`
	Items     int             `json:"Items"`
	// Index numbers the last change of the configuration that this node has;
	// IsUndecided says that it accepted another whose decision it does not know.
	Index       uint64         `json:"Index"`
	IsUndecided bool           `json:"IsUndecided"`
	Digest      string         `json:"Digest"`
	Servers     int            `json:"Servers"`
	Followers   []string       `json:"Followers"`
	Intents     map[string]int `json:"Intents"`
	// Lagging is how many intents another member held, when it was compared with
	// last, that this node lacked.
	Lagging int `json:"Lagging"`
	// Quota is the open and consumed reservations of each route.
	Quota    map[string]idempotency.Usage `json:"Quota"`
	OldestMs int64                        `json:"OldestOpenMs"`
	Versions map[string]string            `json:"Versions"`
	// Trials are the rollouts and staged changes, each with its phase.
	Trials map[string]TrialStatus `json:"Trials"`
	// QuorumAgeMs is how long ago this node last reached a majority of its view, -1
	// if it hasn't yet.
	QuorumAgeMs int64 `json:"QuorumAgeMs"`
	// ListAgeMs is how long ago the newest whole reading of the platform's list that
	// this node knows of began, -1 if it knows of none.
	ListAgeMs int64       `json:"ListAgeMs"`
	Lease     LeaseStatus `json:"Lease"`
}

// LeaseStatus is the lease of the duty as this node knows it. RemainingMs is 0 but
// at the holder.
type LeaseStatus struct {
	Holder      string `json:"Holder"`
	Term        uint64 `json:"Term"`
	RemainingMs int64  `json:"RemainingMs"`
}

func (n *node) statusPoint(context.Context, any) (any, error) {
	out := Status{Node: n.self, Followers: n.hub.Followers(), Members: map[string]bool{}, Versions: map[string]string{}, Trials: map[string]TrialStatus{}}
	n.store.read(func(t *tables) {
		out.Epoch, out.IsTrusted, out.Term, out.Holder = uint64(t.view.Epoch), t.trusted, t.term.Number, t.term.Holder
		out.Index, out.IsUndecided = uint64(t.registry.Index), t.registry.Acceptor.Change != nil
		out.Items, out.Digest = len(t.book()), t.bookDigest()
		for _, item := range t.book().Items() {
			if text, err := item.Version.MarshalText(); err == nil {
				out.Versions[item.ID.Name] = string(text)
			}
		}
		counts, oldest := t.voter.CountByState(n.clock.Wall())
		out.Quota = t.voter.Quota().Usage()
		out.Intents, out.OldestMs = counts, oldest.Milliseconds()
		out.Lagging = n.lag.largest(t.view)
		for subject, state := range t.trials {
			out.Trials[subject] = TrialStatus{state.Phase.String(), state.InForce, state.Target, state.Wave, state.Reason}
		}
		for _, member := range t.view.Members {
			out.Members[member] = member == n.self
		}
	})
	n.runInMemberLoop(func() {
		for member := range out.Members {
			out.Members[member] = out.Members[member] || n.livenessWatch.IsLive(member)
		}
	})
	out.Servers = len(n.fleet().Servers)
	out.QuorumAgeMs, out.Lease = ageMs(n.contact.age(n.clock.Monotonic())), n.leaseStatus(out)
	out.ListAgeMs = ageMs(n.listWatch.age(n.clock.Monotonic()))
	return out, nil
}

// ageMs is an age as the status tells it.
func ageMs(age time.Duration, isKnown bool) int64 {
	if !isKnown {
		return -1
	}
	return age.Milliseconds()
}

func (n *node) leaseStatus(status Status) LeaseStatus {
	out := LeaseStatus{Holder: status.Holder, Term: status.Term}
	if status.Holder == n.self {
		out.RemainingMs = n.lease.remaining(status.Term, n.clock.Monotonic()).Milliseconds()
	}
	return out
}

// FleetPage is the servers as the holder of the duty last read them.
type FleetPage struct {
	Term    uint64        `json:"Term"`
	Servers []feed.Server `json:"Servers"`
}

func (n *node) fleetPoint(context.Context, any) (any, error) {
	fleet := n.fleet()
	return FleetPage{Term: fleet.Term, Servers: fleet.Servers}, nil
}
