package feed

import (
	"slices"
	"strings"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/loopline"
	"ploverhitch/internal/shedding"
)

// Grade says whether a server may get inquiries.
type Admission uint8

// The grades of a server.
const (
	// Open servers are those of the version in force.
	Open Admission = iota
	// OnTrial servers get what a grant allows.
	OnTrial
	// Shut servers get nothing: nobody ordered their version, or it is over.
	Blocked
)

// Server is one server as the platform lists it.
type Server struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint" json:"Zone"`
	Capacity int    `cbor:"5,keyasint"`
	IsReady  bool   `cbor:"6,keyasint"`
	// WarmMs is when the server stops being slow, as wall time.
	WarmupEndMs int64 `cbor:"7,keyasint,omitempty" json:"WarmMs"`
	// Revision is the version of the server's software.
	Revision  string    `cbor:"8,keyasint,omitempty"`
	Admission Admission `cbor:"9,keyasint,omitempty" json:"Grade"`
	// IsAside: the proxies together found the server ill; it gets a trickle.
	Ejected bool `cbor:"10,keyasint,omitempty" json:"IsAside"`
	// Pace is how long its replies take beside those of others, in eighths, as
	// the proxies together saw it; 0 if that is not known.
	RelativeLatency int `cbor:"11,keyasint,omitempty" json:"Pace"`
}

// WarmLeft is how much longer the server stays slow.
//
// Example:
//
//	isSlow := server.WarmLeft(time.Now()) > 0
func (s Server) WarmupRemaining(now time.Time) time.Duration {
	return max(0, time.UnixMilli(s.WarmupEndMs).Sub(now))
}

// Share is the part of a service's inquiries that its version on trial gets. It
// is a grant: a proxy that hears no newer reading for its span sends that
// version nothing more.
type CanaryShare struct {
	Service  string  `cbor:"1,keyasint"`
	Number   uint64  `cbor:"2,keyasint"`
	Fraction float64 `cbor:"3,keyasint"`
}

// Stage is a staged change of lanes: on the nodes that it names these items hold
// before the manifest's. It is a grant like a share.
type StagedChange struct {
	Subject string        `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint"`
	Wave    int           `cbor:"3,keyasint,omitempty"`
	Nodes   []string      `cbor:"4,keyasint"`
	Items   []config.Item `cbor:"5,keyasint"`
}

// Reading orders what the holders of the duty read: by term, then by count.
type FleetVersion struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// Outranks tells whether the reading is newer than the other.
//
// Example:
//
//	isNewer := fleet.Reading().Outranks(board.Fleet.Reading())
func (r FleetVersion) NewerThan(other FleetVersion) bool {
	return r.Term > other.Term || r.Term == other.Term && r.Count > other.Count
}

// Fleet is the servers as the holder of the duty last read them, in the order
// of their ids; or, where Since is set, only what has changed since then.
type Fleet struct {
	Term    uint64   `cbor:"1,keyasint"`
	Count   uint64   `cbor:"2,keyasint"`
	Servers []Server `cbor:"3,keyasint,omitempty"`
	// Proxies is how many proxies share the servers' connections.
	Proxies int `cbor:"4,keyasint,omitempty"`
	// Holder is where the holder of the duty wants the proxies' reports.
	Leader  string         `cbor:"5,keyasint,omitempty"`
	Shares  []CanaryShare  `cbor:"6,keyasint,omitempty"`
	Base    *FleetVersion  `cbor:"7,keyasint,omitempty"`
	Removed []string       `cbor:"8,keyasint,omitempty"`
	Stages  []StagedChange `cbor:"9,keyasint,omitempty"`
	// Paces are, in a change, the servers of which nothing but the pace is new:
	// their places in the list before, and their paces, by turns.
	RelativeLatencies []uint32 `cbor:"10,keyasint,omitempty"`
	// Cutoffs are what all nodes turn away; Mirrors, what they copy. Both are
	// grants like a share.
	Cutoffs []shedding.Cutoff `cbor:"11,keyasint,omitempty"`
	Mirrors []loopline.Grant  `cbor:"12,keyasint,omitempty"`
}

// HoldsGrants tells whether the fleet brings grants, which lapse unless they are
// renewed.
//
// Example:
//
//	if fleet.HoldsGrants() { renew() }
func (f Fleet) HasGrants() bool {
	return len(f.Shares)+len(f.Stages)+len(f.Cutoffs)+len(f.Mirrors) > 0
}

// Reading is the fleet's place among all readings.
//
// Example:
//
//	if fleet.Reading().Outranks(held.Reading()) { hold(fleet) }
func (f Fleet) Version() FleetVersion { return FleetVersion{f.Term, f.Count} }

// warmDrift is how far two readings of a server's warming may lie apart.
const warmupTolerance = 700 * time.Millisecond

// Settle lays a reading in order, each server once, and takes over what the last
// reading said of a server's warming where it is the same but for the clock's steps. A
// list that changes while it is paged may show a server on two pages: one that any
// page shows leaving leaves.
//
// Example:
//
//	servers = feed.Settle(last.Servers, servers)
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

// leavingFirst orders servers by id, and an entry that leaves before one that is ready.
func compareLeavingFirst(a, b Server) int {
	if order := strings.Compare(a.ID, b.ID); order != 0 || a.IsReady == b.IsReady {
		return order
	}
	if a.IsReady {
		return 1
	}
	return -1
}
