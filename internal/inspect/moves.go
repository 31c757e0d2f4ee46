package inspect

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

// Forecast holds the operations that each proxy expects a change of servers to move.
type Forecast struct {
	Change      balancer.Change  `json:"Change"`
	Nodes       []messages.Moves `json:"Nodes"`
	Unreachable []string         `json:"Unheard,omitempty"`
	proxies     []proxyClient
}

// Forecast queries every proxy for the running operations that the change would
// move. The query itself moves nothing.
func (c *Control) Forecast(change balancer.Change) (*Forecast, error) {
	fleet, err := c.Fleet()
	if err != nil {
		return nil, err
	}
	for _, id := range change.Retire {
		if !slices.ContainsFunc(fleet.Servers, func(s feed.Server) bool { return s.ID == id && s.Service == change.Service }) {
			return nil, errors.NotFoundf("server %s of service %s", id, change.Service)
		}
	}
	out := &Forecast{Change: change, Unreachable: fleet.Unreachable}
	for _, proxy := range proxyClients(fleet.Members) {
		var moves messages.Moves
		if proxy.client.Call(messages.KindMoves, change, &moves, requestTimeout) != nil {
			if !slices.Contains(out.Unreachable, proxy.name) {
				out.Unreachable = append(out.Unreachable, proxy.name)
			}
			continue
		}
		out.Nodes, out.proxies = append(out.Nodes, moves), append(out.proxies, proxy)
	}
	sort.Slice(out.Nodes, func(i, j int) bool { return out.Nodes[i].Node < out.Nodes[j].Node })
	return out, nil
}

// Moving returns the operations that would move, by node.
func (f *Forecast) Moving() map[string][]messages.Move {
	out := map[string][]messages.Move{}
	for _, node := range f.Nodes {
		for _, operation := range node.Operations {
			if operation.IsMoving() {
				out[node.Node] = append(out[node.Node], operation)
			}
		}
	}
	return out
}

// Mismatch is an operation whose home after the change differs from the forecast.
type Mismatch struct {
	Node      string        `json:"Node"`
	Operation messages.Move `json:"Run"`
	Home      string        `json:"Home"`
}

const confirmInterval = 200 * time.Millisecond

// Confirm waits, at most for timeout, until every node's ring reflects the change.
// It then compares the home of each operation with the forecast, both for operations
// that were to move and for those that were not.
func (f *Forecast) Confirm(timeSource clock.Clock, timeout time.Duration) (out []Mismatch, err error) {
	deadline := timeSource.Monotonic() + clock.Instant(timeout)
	for _, proxy := range f.proxies {
		node, known := messages.Moves{}, false
		for _, candidate := range f.Nodes {
			if candidate.Node == proxy.name {
				node, known = candidate, true
			}
		}
		if !known {
			return nil, errors.NotFoundf("forecast of %s", proxy.name)
		}
		request := messages.LookupHomes{Service: f.Change.Service}
		for _, operation := range node.Operations {
			request.Places = append(request.Places, operation.Place)
		}
		var response messages.LookupHomesResponse
		for {
			err = proxy.client.Call(messages.KindLookupHomes, request, &response, requestTimeout)
			if err == nil && f.isApplied(response.Instances) {
				break
			}
			if timeSource.Monotonic() > deadline {
				return nil, errors.Timeoutf("the change at %s", proxy.name)
			}
			timeSource.Sleep(confirmInterval)
		}
		for i, operation := range node.Operations {
			if response.Homes[i] != operation.To {
				out = append(out, Mismatch{Node: node.Node, Operation: operation, Home: response.Homes[i]})
			}
		}
	}
	return out, nil
}

func (f *Forecast) isApplied(ring []string) bool {
	for _, text := range f.Change.Add {
		id, _, _ := strings.Cut(text, "@")
		if !slices.Contains(ring, id) {
			return false
		}
	}
	for _, id := range f.Change.Retire {
		if slices.Contains(ring, id) {
			return false
		}
	}
	return true
}
