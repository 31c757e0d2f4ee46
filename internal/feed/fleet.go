package feed

import (
	"slices"
	"strings"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/shedding"
)

// Grade says whether a server may get inquiries.
type Grade uint8

// The grades of a server.
const (
	// Open servers are those of the version in force.
	Open Grade = iota
	// OnTrial servers get what a grant allows.
	OnTrial
	// Shut servers get nothing: nobody ordered their version, or it is over.
	Shut
)

// Server is one server as the platform lists it.
type Server struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Cell     string `cbor:"4,keyasint" json:"Zone"`
	Capacity int    `cbor:"5,keyasint"`
	IsReady  bool   `cbor:"6,keyasint"`
	// WarmMs is when the server stops being slow, as wall time.
	WarmMs int64 `cbor:"7,keyasint,omitempty"`
	// Revision is the version of the server's software.
	Revision string `cbor:"8,keyasint,omitempty"`
	Grade    Grade  `cbor:"9,keyasint,omitempty"`
	// IsAside: the proxies together found the server ill; it gets a trickle.
	IsAside bool `cbor:"10,keyasint,omitempty"`
	// Pace is how long its replies take beside those of others, in eighths, as
	// the proxies together saw it; 0 if that is not known.
	Pace int `cbor:"11,keyasint,omitempty"`
}

// WarmLeft is how much longer the server stays slow.
//
// Example:
//
//	isSlow := server.WarmLeft(time.Now()) > 0
func (s Server) WarmLeft(now time.Time) time.Duration {
	return max(0, time.UnixMilli(s.WarmMs).Sub(now))
}

// Share is the part of a service's inquiries that its version on trial gets. It
// is a grant: a proxy that hears no newer reading for its span sends that
// version nothing more.
type Share struct {
	Service string  `cbor:"1,keyasint"`
	Number  uint64  `cbor:"2,keyasint"`
	Part    float64 `cbor:"3,keyasint"`
}

// Stage is a staged change of lanes: on the nodes that it names these items hold
// before the manifest's. It is a grant like a share.
type Stage struct {
	Subject string        `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint"`
	Wave    int           `cbor:"3,keyasint,omitempty"`
	Nodes   []string      `cbor:"4,keyasint"`
	Items   []config.Item `cbor:"5,keyasint"`
}

// Reading orders what the holders of the duty read: by term, then by count.
type Reading struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// Outranks tells whether the reading is newer than the other.
//
// Example:
//
//	isNewer := fleet.Reading().Outranks(board.Fleet.Reading())
func (r Reading) Outranks(other Reading) bool {
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
	Holder string   `cbor:"5,keyasint,omitempty"`
	Shares []Share  `cbor:"6,keyasint,omitempty"`
	Since  *Reading `cbor:"7,keyasint,omitempty"`
	Gone   []string `cbor:"8,keyasint,omitempty"`
	Stages []Stage  `cbor:"9,keyasint,omitempty"`
	// Paces are, in a change, the servers of which nothing but the pace is new:
	// their places in the list before, and their paces, by turns.
	Paces []uint32 `cbor:"10,keyasint,omitempty"`
	// Cutoffs are what all nodes turn away; Mirrors, what they copy. Both are
	// grants like a share.
	Cutoffs []shedding.Cutoff `cbor:"11,keyasint,omitempty"`
	Mirrors []mirror.Grant    `cbor:"12,keyasint,omitempty"`
}

// HoldsGrants tells whether the fleet brings grants, which lapse unless they are
// renewed.
//
// Example:
//
//	if fleet.HoldsGrants() { renew() }
func (f Fleet) HoldsGrants() bool {
	return len(f.Shares)+len(f.Stages)+len(f.Cutoffs)+len(f.Mirrors) > 0
}

// Reading is the fleet's place among all readings.
//
// Example:
//
//	if fleet.Reading().Outranks(held.Reading()) { hold(fleet) }
func (f Fleet) Reading() Reading { return Reading{f.Term, f.Count} }

// warmDrift is how far two readings of a server's warming may lie apart.
const warmDrift = 700 * time.Millisecond

// Settle lays a reading in order, each server once, and takes over what the last
// reading said of a server's warming where it is the same but for the clock's steps. A
// list that changes while it is paged may show a server on two pages: one that any
// page shows leaving leaves.
//
// Example:
//
//	servers = feed.Settle(last.Servers, servers)
func Settle(last, read []Server) []Server {
	slices.SortStableFunc(read, leavingFirst)
	read = slices.CompactFunc(read, func(a, z Server) bool { return a.ID == z.ID })
	at := map[string]Server{}
	for _, server := range last {
		at[server.ID] = server
	}
	for i, server := range read {
		old, isKnown := at[server.ID]
		drift := time.Duration(old.WarmMs-server.WarmMs) * time.Millisecond
		if isKnown && (server.WarmMs == 0 || drift < warmDrift && drift > -warmDrift) {
			read[i].WarmMs = old.WarmMs
		}
	}
	return read
}

// leavingFirst orders servers by id, and an entry that leaves before one that is ready.
func leavingFirst(a, z Server) int {
	if order := strings.Compare(a.ID, z.ID); order != 0 || a.IsReady == z.IsReady {
		return order
	}
	if a.IsReady {
		return 1
	}
	return -1
}
