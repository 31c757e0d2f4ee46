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

// Forecast is what every proxy says of a change before it is made.
type Forecast struct {
	Change  balancer.Change  `json:"Change"`
	Nodes   []messages.Moves `json:"Nodes"`
	Unheard []string         `json:"Unheard,omitempty"`
	edges   []proxyClient
}

// Forecast asks every proxy which running operations the change would move.
// Nothing is shifted by looking.
//
// Example:
//
//	forecast, err := control.Forecast(balancer.Change{Service: "fees", Retire: []string{"i-7"}})
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
	out := &Forecast{Change: change, Unheard: fleet.Unreachable}
	for _, edge := range proxyClients(fleet.Members) {
		var moves messages.Moves
		if edge.client.Call(messages.KindMoves, change, &moves, requestTimeout) != nil {
			if !slices.Contains(out.Unheard, edge.name) {
				out.Unheard = append(out.Unheard, edge.name)
			}
			continue
		}
		out.Nodes, out.edges = append(out.Nodes, moves), append(out.edges, edge)
	}
	sort.Slice(out.Nodes, func(i, j int) bool { return out.Nodes[i].Node < out.Nodes[j].Node })
	return out, nil
}

// Moving lists the operations that would move, by node.
//
// Example:
//
//	for node, moves := range forecast.Moving() { show(node, moves) }
func (f *Forecast) Moving() map[string][]messages.Move {
	out := map[string][]messages.Move{}
	for _, node := range f.Nodes {
		for _, run := range node.Operations {
			if run.IsMoving() {
				out[node.Node] = append(out[node.Node], run)
			}
		}
	}
	return out
}

// Surprise is an operation whose home after the change is not the one forecast.
type Surprise struct {
	Node string        `json:"Node"`
	Run  messages.Move `json:"Run"`
	Home string        `json:"Home"`
}

const confirmPause = 200 * time.Millisecond

// Confirm waits, for so long at most, until every node's live ring shows the
// change, and then compares where each operation's home is with what was
// forecast, for those that were to move and for those that were not.
//
// Example:
//
//	surprises, err := forecast.Confirm(clock, time.Minute)
func (f *Forecast) Confirm(timeSource clock.Clock, wait time.Duration) (out []Surprise, err error) {
	end := timeSource.Monotonic() + clock.Instant(wait)
	for _, edge := range f.edges {
		node, isKnown := messages.Moves{}, false
		for _, one := range f.Nodes {
			if one.Node == edge.name {
				node, isKnown = one, true
			}
		}
		if !isKnown {
			return nil, errors.NotFoundf("forecast of %s", edge.name)
		}
		asked := messages.LookupHomes{Service: f.Change.Service}
		for _, run := range node.Operations {
			asked.Places = append(asked.Places, run.Place)
		}
		var now messages.LookupHomesResponse
		for {
			err = edge.client.Call(messages.KindLookupHomes, asked, &now, requestTimeout)
			if err == nil && f.isMade(now.Instances) {
				break
			}
			if timeSource.Monotonic() > end {
				return nil, errors.Timeoutf("the change at %s", edge.name)
			}
			timeSource.Sleep(confirmPause)
		}
		for i, run := range node.Operations {
			if now.Homes[i] != run.To {
				out = append(out, Surprise{Node: node.Node, Run: run, Home: now.Homes[i]})
			}
		}
	}
	return out, nil
}

func (f *Forecast) isMade(ring []string) bool {
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
