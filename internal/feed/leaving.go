package feed

import (
	"slices"
	"strings"
)

// departedMost bounds how many servers that left are remembered. At the target's rate
// of replacement, 28,000 a day, that is more than an hour, and a fleet that is older
// than what a board has seen is out of date by seconds.
const maxLeaving = 2048

// Untold are the servers that a reading of the platform's list shows leaving and that
// are to be told: those that this board has not seen leave, whether the fleet lists them
// yet or not, and those that the fleet still calls ready, as what was told before may be
// lost.
//
// Example:
//
//	hub.Publish(feed.News{Leaving: board.Untold(page)})
func (r *Replica) UnreportedLeaving(listed []Server) (leaving []string) {
	for _, server := range listed {
		if !server.IsReady && (!r.Leaving[server.ID] || r.Fleet.ListsReady(server.ID)) {
			leaving = append(leaving, server.ID)
		}
	}
	return leaving
}

// CallsReady tells whether the fleet lists the server as ready.
//
// Example:
//
//	isKnown := board.Leaving[id] || !board.Fleet.CallsReady(id)
func (f Fleet) ListsReady(id string) bool {
	index, found := slices.BinarySearchFunc(f.Servers, id, func(server Server, id string) int { return strings.Compare(server.ID, id) })
	return found && f.Servers[index].IsReady
}

// Serving is the fleet as requests may use it: a server that is known to leave is not
// ready, whatever the fleet says of it.
//
// Example:
//
//	yard = yard.Lay(board.Serving())
func (r *Replica) ServingFleet() Fleet {
	fleet := r.Fleet
	fleet.Servers = r.MarkLeaving(fleet.Servers)
	return fleet
}

// WithoutLeaving is the list with every server that is known to leave marked as not
// ready. The list itself is not changed.
//
// Example:
//
//	fleet.Servers = board.WithoutLeaving(listed)
func (r *Replica) MarkLeaving(servers []Server) []Server {
	copied := false
	for i, server := range servers {
		if !server.IsReady || !r.Leaving[server.ID] {
			continue
		}
		if !copied {
			servers, copied = slices.Clone(servers), true
		}
		servers[i].IsReady = false
	}
	return servers
}

// mergeLeaving remembers servers that are known to leave, and returns those that were
// not known before.
func (r *Replica) addLeaving(ids []string) (fresh []string) {
	for _, id := range ids {
		if !r.Leaving[id] {
			r.Leaving[id] = true
			r.leavingOrder = append(r.leavingOrder, id)
			fresh = append(fresh, id)
		}
	}
	r.evictOldest()
	return fresh
}

// noteLeaving remembers the servers that the fleet shows leaving. Whoever has the fleet
// knows it too, so it is no news.
func (r *Replica) addLeavingFrom(servers []Server) {
	var leaving []string
	for _, server := range servers {
		if !server.IsReady && !r.Leaving[server.ID] {
			leaving = append(leaving, server.ID)
		}
	}
	r.addLeaving(leaving)
}

// forgetOldest keeps what is remembered within its bound.
func (r *Replica) evictOldest() {
	surplus := len(r.leavingOrder) - maxLeaving
	if surplus <= 0 {
		return
	}
	for _, id := range r.leavingOrder[:surplus] {
		delete(r.Leaving, id)
	}
	r.leavingOrder = slices.Clone(r.leavingOrder[surplus:])
}
