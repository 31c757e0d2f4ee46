package proxy

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/upstream"
)

// isServing tells, by the newest news, whether the server may still get requests:
// it is listed under its address, ready, of a version that is open, and not known
// to leave.
func (p *proxy) acceptsRequests(server *balancer.Siding) bool {
	current, listed := p.snapshot.Load().balancer.Find(server.ID)
	if !listed || current.Address != server.Address {
		return false
	}
	return current.IsReady && current.Grade != feed.Shut && !current.IsLeaving()
}

// replace makes another try in place of one whose server had left before anything
// was sent. The try that it replaces had its place in the lane's attempts, and was
// paid for where it had to be; this one takes both over.
func (d *forwarder) replaceAttempt() bool {
	d.sentCount--
	return d.clientCtx.Err() == nil && d.startAttempt()
}

// outcomeOf is what the end of a try shows of its server.
func (d *forwarder) serverOutcome(response *upstream.Reply, err error) balancer.Outcome {
	switch {
	case d.isBrokenOff(err), errors.Is(err, upstream.ErrServerLeft):
		return balancer.Unasked
	case errors.Is(err, upstream.ErrNotSent) && errors.Is(err, errors.Timeout):
		return balancer.Unasked
	case err != nil:
		return balancer.Failed
	case response.Status == http.StatusMisdirectedRequest:
		return balancer.Misdirected
	case response.IsNotExecuted():
		return balancer.Full
	default:
		return balancer.Served
	}
}
