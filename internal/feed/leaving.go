package feed

import (
	"slices"
	"strings"
)

// StillReady are the servers that a reading of the platform's list shows leaving and
// the fleet still calls ready.
//
// Example:
//
//	hub.Publish(feed.News{Leaving: fleet.StillReady(servers)})
func (f Fleet) StillReady(read []Server) (leaving []string) {
	for _, server := range read {
		if !server.IsReady && f.callsReady(server.ID) {
			leaving = append(leaving, server.ID)
		}
	}
	return leaving
}

func (f Fleet) callsReady(id string) bool {
	at, isListed := slices.BinarySearchFunc(f.Servers, id, func(server Server, id string) int { return strings.Compare(server.ID, id) })
	return isListed && f.Servers[at].IsReady
}

// mergeLeaving takes in servers that are known to leave, and returns those that were
// new and that the fleet calls ready.
func (b *Board) mergeLeaving(ids []string) (fresh []string) {
	for _, id := range ids {
		if !b.Leaving[id] && b.Fleet.callsReady(id) {
			b.Leaving[id] = true
			fresh = append(fresh, id)
		}
	}
	return fresh
}

// forgetLeft drops what the fleet itself says by now.
func (b *Board) forgetLeft() {
	for id := range b.Leaving {
		if !b.Fleet.callsReady(id) {
			delete(b.Leaving, id)
		}
	}
}
