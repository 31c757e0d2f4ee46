package points

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/coupling"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/shunt"
)

// isServing tells, by the newest news, whether the server may still get requests:
// it is listed under its address, ready, of a version that is open, and not known
// to leave.
func (p *proxy) isServing(siding *shunt.Siding) bool {
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
func (d *delivery) outcomeOf(reply *coupling.Reply, err error) shunt.Outcome {
	switch {
	case d.isBrokenOff(err), errors.Is(err, coupling.ErrServerLeft):
		return shunt.Unasked
	case errors.Is(err, coupling.ErrNotSent) && errors.Is(err, errors.Timeout):
		return shunt.Unasked
	case err != nil:
		return shunt.Failed
	case reply.Status == http.StatusMisdirectedRequest:
		return shunt.Misdirected
	case reply.IsNotExecuted():
		return shunt.Full
	default:
		return shunt.Served
	}
}
