package proxy

import (
	"context"

	"github.com/juju/errors"

	"ploverhitch/internal/config"
)

// errLeft: the client closed its connection before it had an answer. It says nothing
// of the server.
const errClientGone = errors.ConstError("the client has left")

// leaving is what ends when nobody waits for the inquiry any more. A keyed operation
// is wanted by its record, whoever sent it.
func deliveryContext(ctx context.Context, req *inquiry) context.Context {
	if req.lane.RouteType == config.Idempotent {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// breaking is what ends when the connection of a try may be broken: only what may
// run again is stopped in the middle.
func (d *delivery) abortContext() context.Context {
	if d.one.lane.IsRepeatable() {
		return d.left
	}
	return nil
}

// isBrokenOff tells whether a try ended because its client had left.
func (d *delivery) abortedByClient(err error) bool {
	return err != nil && d.one.lane.IsRepeatable() && d.left.Err() != nil
}
