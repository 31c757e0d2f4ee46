package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// handleReady answers the readiness checks of the platform.
func (p *proxy) handleReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/v1/ready":
		w.WriteHeader(http.StatusNotFound)
	case p.isReady():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// drainDelay is long enough for two readiness checks of the platform to fail.
	drainDelay = 2800 * time.Millisecond
	// graceMargin is the part of the platform's grace period that is left unused.
	graceMargin = 700 * time.Millisecond
)

// shutDown reports the node as not ready, serves until the platform sends no new
// requests, and then waits for the requests in flight.
func (p *proxy) shutDown(server *http.Server) error {
	grace := p.settings.Load().Platform.Bounds.Grace.Std() - graceMargin
	p.draining.Store(true)
	p.clock.Sleep(min(drainDelay, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace-min(drainDelay, grace/2)))
	defer cancel()
	err := server.Shutdown(ctx)
	for ctx.Err() == nil && p.activeRequests.Load() > 0 {
		p.clock.Sleep(20 * time.Millisecond)
	}
	return errors.Annotate(err, "shutting down")
}
