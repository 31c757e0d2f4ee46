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

// runningOperation is a request with a position on the hash ring that is running or
// whose outcome is still awaited, with the servers it was sent to.
type runningOperation struct {
	request *clientRequest
	servers []string
}

// trackOperation registers a request with a position on the hash ring until done is
// called. Other requests are not tracked.
func (p *proxy) trackOperation(req *clientRequest) (done func()) {
	if !req.hasRingPosition {
		return func() {}
	}
	p.runningOperations.Store(req, &runningOperation{request: req})
	return func() { p.runningOperations.Delete(req) }
}

// trackServer adds a server to those that a tracked request was sent to.
func (p *proxy) trackServer(req *clientRequest, server string) {
	if entry, ok := p.runningOperations.Load(req); ok {
		operation := entry.(*runningOperation)
		p.runningOperations.Store(req, &runningOperation{request: req, servers: append(operation.servers[:len(operation.servers):len(operation.servers)], server)})
	}
}

// plannedMoves returns, for each running operation of the service, its home server on
// the current ring and on the ring after the change. It reads one immutable state and
// changes nothing.
func (p *proxy) plannedMoves(change balancer.Change) messages.Moves {
	current := p.snapshot.Load().balancer
	homeAfter := current.HomeAfter(change)
	out := messages.Moves{Node: p.settings.Load().Platform.NodeName}
	p.runningOperations.Range(func(_, value any) bool {
		operation := value.(*runningOperation)
		req := operation.request
		home := current.HomeServer(req.service, req.ringPosition)
		if req.service != change.Service || home == nil {
			return true
		}
		move := messages.Move{
			Route: req.route.Name, Tenant: req.route.Host, From: home.ID, To: homeAfter(req.ringPosition), RunningOn: operation.servers, Place: req.ringPosition,
		}
		if req.route.RouteType == config.Idempotent {
			move.Key = req.key.Key
		} else {
			move.Attempt, move.Target = req.Attempt, req.Target
		}
		out.Operations = append(out.Operations, move)
		return true
	})
	sort.Slice(out.Operations, func(i, j int) bool {
		a, b := out.Operations[i], out.Operations[j]
		return a.Key+a.Target+a.Attempt < b.Key+b.Target+b.Attempt
	})
	return out
}

// ringHomes returns the home servers of ring positions, and the servers of the ring.
func (p *proxy) ringHomes(query messages.LookupHomes) (out messages.LookupHomesResponse) {
	servers := p.snapshot.Load().balancer
	for _, position := range query.Places {
		id := ""
		if home := servers.HomeServer(query.Service, position); home != nil {
			id = home.ID
		}
		out.Homes = append(out.Homes, id)
	}
	out.Instances = servers.InstanceIDs(query.Service)
	return out
}

// nodeStatus returns the configuration and the cutoff that this node applies.
func (p *proxy) nodeStatus(struct{}) messages.ProxyStatus {
	s := p.snapshot.Load()
	status := messages.ProxyStatus{
		Node: p.settings.Load().Platform.NodeName, Digest: s.configDigest, Epoch: uint64(s.view.Epoch), Ready: p.isReady(), Servers: s.balancer.Size(),
	}
	cutoffs, local := p.activeCutoffs(s)
	for _, cutoff := range cutoffs {
		status.Cutoff, status.LocalCutoff = max(status.Cutoff, cutoff.Number), local
	}
	return status
}

// OperatorAddress is the address where the proxy of a machine answers operator
// queries, such as "10.1.0.39:7201".
func OperatorAddress(conf *settings.Settings) string {
	return conf.InternalAddress(conf.Platform.IP, 1)
}

// serveOperators serves the queries that the inspector sends to a proxy.
func (p *proxy) serveOperators() (net.Listener, error) {
	listener, err := net.Listen("tcp4", OperatorAddress(p.settings.Load()))
	if err != nil {
		return nil, errors.Annotate(err, "listening on the operator address")
	}
	go rpc.Serve(listener, rpc.Handlers{
		messages.KindMoves:       replyWith(p, p.plannedMoves),
		messages.KindLookupHomes: replyWith(p, p.ringHomes),
		messages.KindProxyStatus: replyWith(p, p.nodeStatus),

		messages.KindMirrorStatus: replyWith(p, p.mirrorStatus),
	}, controlSilenceTimeout)
	return listener, nil
}

// replyWith makes a call handler from a function. Calls that cannot be decoded are logged
// and rejected.
func replyWith[T, R any](p *proxy, answer func(T) R) func(rpc.Call) {
	return rpc.TypedHandler(func(in T, reply func(R)) { reply(answer(in)) }, p.reportUndecodable)
}

func (p *proxy) reportUndecodable(call rpc.Call, err error) {
	p.log("error", "a query cannot be decoded and is rejected", "kind", call.Kind, "bytes", len(call.Body), "error", err)
}
