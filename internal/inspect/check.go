// Package inspect implements the operators' read-only commands: it validates a
// configuration against the running fleet, forecasts which running operations a
// change of servers would move, and reports sites, load, mirrors and control members.
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

// Finding is one problem that a check found.
type Finding struct {
	What   string `json:"What"`
	Where  string `json:"Where"`
	Detail string `json:"Detail"`
}

// Fleet is the state of the running system that a configuration is checked against.
type Fleet struct {
	Servers []feed.Server
	// Members and Proxies hold the status that each node reports. Unreachable names
	// the nodes that did not answer.
	Members     []control.Status
	Proxies     []messages.ProxyStatus
	Unreachable []string
}

// Check returns the findings for an item set against the fleet, ordered by kind.
// sent holds the items of a request that is yet to be submitted, if any; they are
// applied to the item set before the check.
func Check(itemSet config.ItemSet, sent []config.Item, fleet Fleet) (out []Finding) {
	find := func(what, where, format string, args ...any) {
		out = append(out, Finding{what, where, fmt.Sprintf(format, args...)})
	}
	for _, item := range sent {
		if current, exists := itemSet[item.ID]; exists && item.Version <= current.Version {
			sentVersion, _ := item.Version.MarshalText()
			currentVersion, _ := current.Version.MarshalText()
			find("superseded", item.ID.Name, "version %s has no effect: %s is in force", sentVersion, currentVersion)
		}
	}
	_, updated, err := itemSet.ValidateUpdate(sent)
	if err != nil {
		find("invalid", "manifest", "%s", err)
	} else {
		// Older builds acknowledged sets that are invalid by the present rules.
		for _, problem := range updated.Problems() {
			find("invalid", "manifest", "%s", problem.Text)
		}
	}
	ready, slots := map[string]int{}, map[string]int{}
	for _, server := range fleet.Servers {
		if server.IsReady {
			ready[server.Service]++
			slots[server.Service] = max(slots[server.Service], server.Capacity)
		}
	}
	for _, item := range updated.Items() {
		if !item.Removed {
			checkItem(item, ready, slots, len(fleet.Proxies), find)
		}
	}
	checkNodes(fleet, find)
	sort.SliceStable(out, func(i, j int) bool { return out[i].What < out[j].What })
	return out
}

type finder func(what, where, format string, args ...any)

func checkItem(item config.Item, ready, slots map[string]int, proxies int, find finder) {
	switch item.ID.Class {
	case config.RouteItem:
		var route config.RouteSpec
		if json.Unmarshal(item.Body, &route) != nil {
			find("invalid", "lane "+item.ID.Name, "cannot be read")
			return
		}
		if len(route.TrafficSplit) == 0 && ready[route.Service] == 0 {
			find("no server", "lane "+route.Name, "service %s has no ready server", route.Service)
		}
		for _, share := range route.TrafficSplit {
			if share.Weight > 0 && ready[share.Service] == 0 {
				find("no server", "lane "+route.Name, "a share of %g goes to %s, which has no ready server", share.Weight, share.Service)
			}
		}
	case config.ServiceItem:
		var service config.ServiceSpec
		if json.Unmarshal(item.Body, &service) != nil {
			find("invalid", "service "+item.ID.Name, "cannot be read")
			return
		}
		if minimum := max(slots[service.Name], proxies); service.MaxConnections > 0 && int(service.MaxConnections) < minimum {
			find("connections", "service "+service.Name, "%d connections a server are fewer than its %d slots or the %d proxies",
				service.MaxConnections, slots[service.Name], proxies)
		}
	}
}

func checkNodes(fleet Fleet, find finder) {
	for _, name := range fleet.Unreachable {
		find("unheard", name, "the node did not answer")
	}
	newest, digests := uint64(0), map[string]int{}
	for _, member := range fleet.Members {
		newest = max(newest, member.Epoch)
		digests[member.Digest]++
	}
	mostCommon := ""
	for digest, count := range digests {
		if count > digests[mostCommon] || count == digests[mostCommon] && digest < mostCommon {
			mostCommon = digest
		}
	}
	for _, member := range fleet.Members {
		if !member.IsTrusted {
			find("rebuilding", member.Node, "the member does not vote yet")
		}
		if member.Epoch < newest {
			find("behind", member.Node, "view %d, where %d is in force", member.Epoch, newest)
		}
		if member.Digest != mostCommon {
			find("behind", member.Node, "its items differ from the others'")
		}
	}
	for _, proxy := range fleet.Proxies {
		if !proxy.Ready {
			find("not ready", proxy.Node, "the proxy takes no new connections")
		}
		if proxy.Digest != mostCommon {
			find("behind", proxy.Node, "its items differ from the core's")
		}
		if proxy.Epoch < newest {
			find("behind", proxy.Node, "view %d, where %d is in force", proxy.Epoch, newest)
		}
	}
}
