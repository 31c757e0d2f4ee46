package proxy

import (
	"net"
	"sort"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
)

// placedRun is one placed operation that is running, or whose outcome is still
// awaited, with the servers it was sent to.
type runningOperation struct {
	request *inquiry
	servers []string
}

// enter notes a placed operation for as long as it runs.
func (p *proxy) trackOperation(one *inquiry) (leave func()) {
	if !one.isPlaced {
		return func() {}
	}
	p.runs.Store(one, &runningOperation{request: one})
	return func() { p.runs.Delete(one) }
}

// sentTo notes a server of a placed operation.
func (p *proxy) trackServer(one *inquiry, server string) {
	if known, isKnown := p.runs.Load(one); isKnown {
		run := known.(*runningOperation)
		p.runs.Store(one, &runningOperation{request: one, servers: append(run.servers[:len(run.servers):len(run.servers)], server)})
	}
}

// moves tells where the change would leave the running operations: their home
// on the live ring, and on the ring after the change. It looks at one immutable
// sight and shifts nothing.
func (p *proxy) plannedMoves(change balancer.Change) messages.Moves {
	yard := p.sight.Load().yard
	after := yard.Trial(change)
	out := messages.Moves{Node: p.set.Load().Platform.NodeName}
	p.runs.Range(func(_, value any) bool {
		run := value.(*runningOperation)
		one := run.request
		home := yard.Home(one.service, one.place)
		if one.service != change.Service || home == nil {
			return true
		}
		move := messages.Move{
			Lane: one.lane.Name, Tenant: one.lane.Host, From: home.ID, To: after(one.place), At: run.servers, Place: one.place,
		}
		if one.lane.RouteType == config.Idempotent {
			move.Key = one.key.Key
		} else {
			move.Attempt, move.Target = one.Attempt, one.Target
		}
		out.Runs = append(out.Runs, move)
		return true
	})
	sort.Slice(out.Runs, func(i, j int) bool {
		a, z := out.Runs[i], out.Runs[j]
		return a.Key+a.Target+a.Attempt < z.Key+z.Target+z.Attempt
	})
	return out
}

func (p *proxy) ringHomes(asked messages.Homes) (out messages.HomesNow) {
	yard := p.sight.Load().yard
	for _, place := range asked.Places {
		id := ""
		if home := yard.Home(asked.Service, place); home != nil {
			id = home.ID
		}
		out.Homes = append(out.Homes, id)
	}
	out.Ring = yard.Names(asked.Service)
	return out
}

func (p *proxy) nodeStatus(struct{}) messages.Sight {
	s := p.sight.Load()
	out := messages.Sight{
		Node: p.set.Load().Platform.NodeName, Digest: s.digest, Epoch: uint64(s.view.Epoch), IsReady: p.isReady(), Servers: s.yard.Size(),
	}
	cutoffs, isFloor := p.activeCutoffs(s)
	for _, cutoff := range cutoffs {
		out.Cutoff, out.IsFloor = max(out.Cutoff, cutoff.Number), isFloor
	}
	return out
}

// AskAddress is where a machine's proxy answers what operators ask.
//
// Example:
//
//	address := proxy.AskAddress(set) // "10.1.0.39:7201"
func AskAddress(set *settings.Settings) string { return set.InternalAddress(set.Platform.Ip, 1) }

// answerOperators serves what the inspector asks of a proxy.
func (p *proxy) serveOperators() (net.Listener, error) {
	listener, err := net.Listen("tcp4", AskAddress(p.set.Load()))
	if err != nil {
		return nil, errors.Annotate(err, "internal port")
	}
	go rpc.Serve(listener, rpc.Handlers{
		messages.KindMoves: replyWith(p.plannedMoves),
		messages.KindHomes: replyWith(p.ringHomes),
		messages.KindSight: replyWith(p.nodeStatus),

		messages.KindMirrored: replyWith(p.mirrorPages),
	}, coreSilence)
	return listener, nil
}

func replyWith[T, R any](look func(T) R) func(rpc.Call) {
	return func(call rpc.Call) {
		var in T
		if len(call.Body) == 0 || rpc.Unpack(call.Body, &in) == nil {
			call.Reply(look(in))
		}
	}
}
