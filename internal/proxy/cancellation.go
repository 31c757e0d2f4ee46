package proxy

import (
	"context"

	"github.com/juju/errors"

	"ploverhitch/internal/config"
)

// errClientGone: the client closed its connection before it had an answer. The error
// says nothing about the server.
const errClientGone = errors.ConstError("client closed the connection")

// deliveryContext returns the context that ends when nobody waits for the response
// any more. A request with an idempotency key continues without its client, because
// its outcome is recorded.
func deliveryContext(ctx context.Context, req *clientRequest) context.Context {
	if req.route.RouteType == config.Idempotent {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// abortContext returns the context that closes the connection of an attempt when it
// ends, or nil: only repeatable requests are aborted after they were sent.
func (d *forwarder) abortContext() context.Context {
	if d.request.route.Repeatable() {
		return d.clientCtx
	}
	return nil
}

// abortedByClient reports whether an attempt failed because its client had gone.
func (d *forwarder) abortedByClient(err error) bool {
	return err != nil && d.request.route.Repeatable() && d.clientCtx.Err() != nil
}
