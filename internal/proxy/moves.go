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
type placedRun struct {
	one     *clientRequest
	servers []string
}

// enter notes a placed operation for as long as it runs.
func (p *proxy) enter(one *clientRequest) (leave func()) {
	if !one.hasRingPosition {
		return func() {}
	}
	p.runningOperations.Store(one, &placedRun{one: one})
	return func() { p.runningOperations.Delete(one) }
}

// sentTo notes a server of a placed operation.
func (p *proxy) sentTo(one *clientRequest, server string) {
	if known, isKnown := p.runningOperations.Load(one); isKnown {
		run := known.(*placedRun)
		p.runningOperations.Store(one, &placedRun{one: one, servers: append(run.servers[:len(run.servers):len(run.servers)], server)})
	}
}

// moves tells where the change would leave the running operations: their home
// on the live ring, and on the ring after the change. It looks at one immutable
// sight and shifts nothing.
func (p *proxy) moves(change balancer.Change) messages.Moves {
	yard := p.snapshot.Load().balancer
	after := yard.Trial(change)
	out := messages.Moves{Node: p.settings.Load().Platform.NodeName}
	p.runningOperations.Range(func(_, value any) bool {
		run := value.(*placedRun)
		one := run.one
		home := yard.Home(one.service, one.ringPosition)
		if one.service != change.Service || home == nil {
			return true
		}
		move := messages.Move{
			Lane: one.route.Name, Tenant: one.route.Host, From: home.ID, To: after(one.ringPosition), At: run.servers, Place: one.ringPosition,
		}
		if one.route.RouteType == config.Idempotent {
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

func (p *proxy) homes(asked messages.Homes) (out messages.HomesNow) {
	yard := p.snapshot.Load().balancer
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

func (p *proxy) inForce(struct{}) messages.Sight {
	s := p.snapshot.Load()
	out := messages.Sight{
		Node: p.settings.Load().Platform.NodeName, Digest: s.manifestDigest, Epoch: uint64(s.view.Epoch), IsReady: p.isReady(), Servers: s.balancer.Size(),
	}
	cutoffs, isFloor := p.cutoffs(s)
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
func (p *proxy) answerOperators() (net.Listener, error) {
	listener, err := net.Listen("tcp4", AskAddress(p.settings.Load()))
	if err != nil {
		return nil, errors.Annotate(err, "internal port")
	}
	go rpc.Serve(listener, rpc.Handlers{
		messages.KindMoves: answering(p.moves),
		messages.KindHomes: answering(p.homes),
		messages.KindSight: answering(p.inForce),

		messages.KindMirrored: answering(p.mirrored),
	}, controlSilenceTimeout)
	return listener, nil
}

func answering[T, R any](look func(T) R) func(rpc.Call) {
	return func(call rpc.Call) {
		var in T
		if len(call.Body) == 0 || rpc.Unpack(call.Body, &in) == nil {
			call.Reply(look(in))
		}
	}
}
