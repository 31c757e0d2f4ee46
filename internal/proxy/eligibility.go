package proxy

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/upstream"
)

// acceptsRequests reports whether the server may still get requests by the newest
// snapshot: it is listed under the same address, is ready, runs a version that is not
// blocked, and is not known to be leaving.
func (p *proxy) acceptsRequests(server *balancer.Endpoint) bool {
	current, listed := p.snapshot.Load().balancer.Find(server.ID)
	if !listed || current.Address != server.Address {
		return false
	}
	return current.IsReady && current.Admission != feed.Blocked && !current.Leaving()
}

// replaceAttempt starts an attempt in place of one whose server left before anything was
// sent. The replaced attempt was counted against the route's maximum and charged to the
// retry budget where necessary, so this one is neither counted nor charged again.
func (d *forwarder) replaceAttempt() bool {
	d.sentCount--
	return d.clientCtx.Err() == nil && d.startAttempt()
}

// serverOutcome classifies what the end of an attempt shows about its server.
func (d *forwarder) serverOutcome(response *upstream.Response, err error) balancer.Outcome {
	switch {
	case d.abortedByClient(err), errors.Is(err, upstream.ErrNotServing):
		return balancer.Inconclusive
	case errors.Is(err, upstream.ErrNotSent) && errors.Is(err, errors.Timeout):
		return balancer.Inconclusive
	case err != nil:
		return balancer.Failed
	case response.Status == http.StatusMisdirectedRequest:
		return balancer.Misdirected
	case response.IsNotExecuted():
		return balancer.Overloaded
	default:
		return balancer.Served
	}
}
