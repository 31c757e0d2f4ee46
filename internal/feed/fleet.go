package feed

import (
	"slices"
	"strings"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/shedding"
)

// Admission states whether a server may receive requests.
type Admission uint8

// The admission states of a server.
const (
	// Open servers run the version in use.
	Open Admission = iota
	// Canary servers receive the share of requests that a grant allows.
	Canary
	// Blocked servers receive no requests: their version was not rolled out, or its
	// rollout is over.
	Blocked
)

// Server is a server as the platform lists it.
type Server struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint" json:"Zone"`
	Capacity int    `cbor:"5,keyasint"`
	IsReady  bool   `cbor:"6,keyasint"`
	// WarmupEndMs is the wall time at which the warm-up ends.
	WarmupEndMs int64 `cbor:"7,keyasint,omitempty" json:"WarmMs"`
	// Revision is the version of the server's software.
	Revision  string    `cbor:"8,keyasint,omitempty"`
	Admission Admission `cbor:"9,keyasint,omitempty" json:"Grade"`
	// Ejected states that the proxies together judged the server unhealthy; it receives
	// only a trickle of requests.
	Ejected bool `cbor:"10,keyasint,omitempty" json:"IsAside"`
	// RelativeLatency is the server's latency relative to that of other servers, in eighths,
	// as the proxies together measured it; 0 if unknown.
	RelativeLatency int `cbor:"11,keyasint,omitempty" json:"Pace"`
}

// WarmupRemaining returns how much longer the server warms up.
func (s Server) WarmupRemaining(now time.Time) time.Duration {
	return max(0, time.UnixMilli(s.WarmupEndMs).Sub(now))
}

// CanaryShare is the fraction of a service's requests that its canary version receives.
// It is a grant: a proxy that receives no newer fleet within GrantDuration stops sending
// requests to that version.
type CanaryShare struct {
	Service  string  `cbor:"1,keyasint"`
	Number   uint64  `cbor:"2,keyasint"`
	Fraction float64 `cbor:"3,keyasint"`
}

// StagedChange is a staged change of routes: on the named nodes, its items take precedence
// over the configuration. It is a grant, like a CanaryShare.
type StagedChange struct {
	Subject string        `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint"`
	Wave    int           `cbor:"3,keyasint,omitempty"`
	Nodes   []string      `cbor:"4,keyasint"`
	Items   []config.Item `cbor:"5,keyasint"`
}

// FleetVersion orders the fleets that the leaders publish: by term, then by count.
type FleetVersion struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// NewerThan reports whether the version is newer than the other.
func (v FleetVersion) NewerThan(other FleetVersion) bool {
	return v.Term > other.Term || v.Term == other.Term && v.Count > other.Count
}

// Fleet holds the servers as the leader last read them, ordered by ID. If Base is set,
// it is a diff from that version.
type Fleet struct {
	Term    uint64   `cbor:"1,keyasint"`
	Count   uint64   `cbor:"2,keyasint"`
	Servers []Server `cbor:"3,keyasint,omitempty"`
	// Proxies is the number of proxies that share the servers' connection limits.
	Proxies int `cbor:"4,keyasint,omitempty"`
	// Leader is the address to which the proxies report.
	Leader  string         `cbor:"5,keyasint,omitempty"`
	Shares  []CanaryShare  `cbor:"6,keyasint,omitempty"`
	Base    *FleetVersion  `cbor:"7,keyasint,omitempty"`
	Removed []string       `cbor:"8,keyasint,omitempty"`
	Stages  []StagedChange `cbor:"9,keyasint,omitempty"`
	// RelativeLatencies holds, in a diff, the servers of which only the relative latency
	// changed: pairs of the index in the base list and the new value.
	RelativeLatencies []uint32 `cbor:"10,keyasint,omitempty"`
	// Cutoffs is the load that all nodes shed, Mirrors the traffic that they copy. Both
	// are grants, like a CanaryShare.
	Cutoffs []shedding.Cutoff `cbor:"11,keyasint,omitempty"`
	Mirrors []mirror.Grant    `cbor:"12,keyasint,omitempty"`
}

// HasGrants reports whether the fleet holds grants, which expire unless renewed.
func (f Fleet) HasGrants() bool {
	return len(f.Shares)+len(f.Stages)+len(f.Cutoffs)+len(f.Mirrors) > 0
}

// Version returns the version of the fleet.
func (f Fleet) Version() FleetVersion { return FleetVersion{f.Term, f.Count} }

// warmupTolerance is the difference up to which two computed ends of a warm-up count as equal.
const warmupTolerance = 700 * time.Millisecond

// Normalize sorts a listing, keeps one entry per server, and keeps the previous end of
// warm-up where the new one differs only by clock steps. A list that changes while it is
// paged may show a server on two pages: a server that any page shows leaving is leaving.
func Normalize(last, listed []Server) []Server {
	slices.SortStableFunc(listed, compareLeavingFirst)
	listed = slices.CompactFunc(listed, func(a, b Server) bool { return a.ID == b.ID })
	previous := map[string]Server{}
	for _, server := range last {
		previous[server.ID] = server
	}
	for i, server := range listed {
		old, found := previous[server.ID]
		drift := time.Duration(old.WarmupEndMs-server.WarmupEndMs) * time.Millisecond
		if found && (server.WarmupEndMs == 0 || drift < warmupTolerance && drift > -warmupTolerance) {
			listed[i].WarmupEndMs = old.WarmupEndMs
		}
	}
	return listed
}

// compareLeavingFirst orders servers by ID, and of one ID the leaving entry before the
// ready one.
func compareLeavingFirst(a, b Server) int {
	if order := strings.Compare(a.ID, b.ID); order != 0 || a.IsReady == b.IsReady {
		return order
	}
	if a.IsReady {
		return 1
	}
	return -1
}
