package proxy

import (
	"context"

	"github.com/juju/errors"

	"ploverhitch/internal/config"
)

// errLeft: the client closed its connection before it had an answer. It says nothing
// of the server.
const errLeft = errors.ConstError("the client has left")

// leaving is what ends when nobody waits for the inquiry any more. A keyed operation
// is wanted by its record, whoever sent it.
func leaving(ctx context.Context, one *clientRequest) context.Context {
	if one.route.RouteType == config.Idempotent {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// breaking is what ends when the connection of a try may be broken: only what may
// run again is stopped in the middle.
func (d *forwarder) breaking() context.Context {
	if d.request.route.IsRepeatable() {
		return d.clientCtx
	}
	return nil
}

// isBrokenOff tells whether a try ended because its client had left.
func (d *forwarder) isBrokenOff(err error) bool {
	return err != nil && d.request.route.IsRepeatable() && d.clientCtx.Err() != nil
}
