// Package inspect checks a manifest against the fleet as it is, and tells
// before a change of servers which running operations it would move.
package inspect

import (
	"encoding/json"
	"fmt"
	"sort"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

// Finding is one thing that is not as it should be.
type Finding struct {
	What   string `json:"What"`
	Where  string `json:"Where"`
	Detail string `json:"Detail"`
}

// Fleet is everything that a manifest is checked against.
type Fleet struct {
	Servers []feed.Server
	// Cores and Edges are what each node says of itself; a node that did not
	// answer is named in Unheard.
	Cores   []control.Status
	Edges   []messages.ProxyStatus
	Unheard []string
}

// Check lists the findings of a book against the fleet, in a settled order.
// Where the book is not the one in force, sent holds the items of a file that
// is to be sent.
//
// Example:
//
//	findings := inspector.Check(book, sent, fleet)
func Check(book config.ItemSet, sent []config.Item, fleet Fleet) (out []Finding) {
	find := func(what, where, format string, args ...any) {
		out = append(out, Finding{what, where, fmt.Sprintf(format, args...)})
	}
	for _, item := range sent {
		if held, isHeld := book[item.ID]; isHeld && item.Version <= held.Version {
			mine, _ := item.Version.MarshalText()
			theirs, _ := held.Version.MarshalText()
			find("superseded", item.ID.Name, "version %s has no effect: %s is in force", mine, theirs)
		}
	}
	_, trial, err := book.ValidateUpdate(sent)
	if err != nil {
		find("invalid", "manifest", "%s", err)
	}
	ready, slots := map[string]int{}, map[string]int{}
	for _, server := range fleet.Servers {
		if server.IsReady {
			ready[server.Service]++
			slots[server.Service] = max(slots[server.Service], server.Capacity)
		}
	}
	for _, item := range trial.Items() {
		if !item.Removed {
			checkItem(item, ready, slots, len(fleet.Edges), find)
		}
	}
	checkNodes(fleet, find)
	sort.SliceStable(out, func(i, j int) bool { return out[i].What < out[j].What })
	return out
}

type finder func(what, where, format string, args ...any)

func checkItem(item config.Item, ready, slots map[string]int, edges int, find finder) {
	switch item.ID.Class {
	case config.RouteItem:
		var lane config.RouteSpec
		if json.Unmarshal(item.Body, &lane) != nil {
			find("invalid", "lane "+item.ID.Name, "cannot be read")
			return
		}
		if len(lane.TrafficSplit) == 0 && ready[lane.Service] == 0 {
			find("no server", "lane "+lane.Name, "service %s has no ready server", lane.Service)
		}
		for _, share := range lane.TrafficSplit {
			if share.Weight > 0 && ready[share.Service] == 0 {
				find("no server", "lane "+lane.Name, "a share of %g goes to %s, which has no ready server", share.Weight, share.Service)
			}
		}
	case config.ServiceItem:
		var service config.ServiceSpec
		if json.Unmarshal(item.Body, &service) != nil {
			find("invalid", "service "+item.ID.Name, "cannot be read")
			return
		}
		if least := max(slots[service.Name], edges); service.MaxConnections > 0 && service.MaxConnections < least {
			find("connections", "service "+service.Name, "%d connections a server are fewer than its %d slots or the %d proxies",
				service.MaxConnections, slots[service.Name], edges)
		}
	}
}

func checkNodes(fleet Fleet, find finder) {
	for _, name := range fleet.Unheard {
		find("unheard", name, "the node did not answer")
	}
	newest, digests := uint64(0), map[string]int{}
	for _, core := range fleet.Cores {
		newest = max(newest, core.Epoch)
		digests[core.Digest]++
	}
	common := ""
	for digest, count := range digests {
		if count > digests[common] || count == digests[common] && digest < common {
			common = digest
		}
	}
	for _, core := range fleet.Cores {
		if !core.IsTrusted {
			find("rebuilding", core.Node, "the member does not vote yet")
		}
		if core.Epoch < newest {
			find("behind", core.Node, "view %d, where %d is in force", core.Epoch, newest)
		}
		if core.Digest != common {
			find("behind", core.Node, "its items differ from the others'")
		}
	}
	for _, edge := range fleet.Edges {
		if !edge.Ready {
			find("not ready", edge.Node, "the proxy takes no new connections")
		}
		if edge.Digest != common {
			find("behind", edge.Node, "its items differ from the core's")
		}
		if edge.Epoch < newest {
			find("behind", edge.Node, "view %d, where %d is in force", edge.Epoch, newest)
		}
	}
}
