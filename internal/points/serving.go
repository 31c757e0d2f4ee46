package points

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
func (p *proxy) isServing(siding *balancer.Siding) bool {
	now, isListed := p.sight.Load().yard.Find(siding.ID)
	if !isListed || now.Address != siding.Address {
		return false
	}
	return now.IsReady && now.Grade != feed.Shut && !now.IsLeaving()
}

// replace makes another try in place of one whose server had left before anything
// was sent. The try that it replaces had its place in the lane's attempts, and was
// paid for where it had to be; this one takes both over.
func (d *delivery) replace() bool {
	d.sent--
	return d.left.Err() == nil && d.launch()
}

// outcomeOf is what the end of a try shows of its server.
func (d *delivery) outcomeOf(reply *upstream.Response, err error) balancer.Outcome {
	switch {
	case d.isBrokenOff(err), errors.Is(err, upstream.ErrNotServing):
		return balancer.Unasked
	case errors.Is(err, upstream.ErrNotSent) && errors.Is(err, errors.Timeout):
		return balancer.Unasked
	case err != nil:
		return balancer.Failed
	case reply.Status == http.StatusMisdirectedRequest:
		return balancer.Misdirected
	case reply.IsNotExecuted():
		return balancer.Full
	default:
		return balancer.Served
	}
}
