package feed

import (
	"slices"
	"strings"
)

// maxLeaving bounds how many leaving servers are remembered. At the target's replacement
// rate of 28,000 a day, that is more than an hour, while a fleet that is older than what a
// replica has seen lags by seconds.
const maxLeaving = 2048

// UnreportedLeaving returns the leaving servers of a listing that are to be reported:
// those that this replica has not seen leaving, whether the fleet lists them yet or not,
// and those that the fleet still lists as ready, as an earlier report may be lost.
func (r *Replica) UnreportedLeaving(listed []Server) (leaving []string) {
	for _, server := range listed {
		if !server.IsReady && (!r.Leaving[server.ID] || r.Fleet.ListsReady(server.ID)) {
			leaving = append(leaving, server.ID)
		}
	}
	return leaving
}

// ListsReady reports whether the fleet lists the server as ready.
func (f Fleet) ListsReady(id string) bool {
	index, found := slices.BinarySearchFunc(f.Servers, id, func(server Server, id string) int { return strings.Compare(server.ID, id) })
	return found && f.Servers[index].IsReady
}

// ServingFleet returns the fleet for request routing: a server that is known to leave is
// not ready, even if the fleet lists it as ready.
func (r *Replica) ServingFleet() Fleet {
	fleet := r.Fleet
	fleet.Servers = r.MarkLeaving(fleet.Servers)
	return fleet
}

// MarkLeaving returns the list with every server that is known to leave marked as not
// ready. The argument is not changed.
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

// addLeaving remembers leaving servers and returns those that were not known before.
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

// addLeavingFrom remembers the servers that the fleet shows leaving. Every node with the
// fleet knows them too, so they are not reported again.
func (r *Replica) addLeavingFrom(servers []Server) {
	var leaving []string
	for _, server := range servers {
		if !server.IsReady && !r.Leaving[server.ID] {
			leaving = append(leaving, server.ID)
		}
	}
	r.addLeaving(leaving)
}

// evictOldest keeps at most maxLeaving servers.
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
