package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

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
	// leaveAfter is for the platform to see twice that the node is not ready.
	drainDelay  = 2800 * time.Millisecond
	graceMargin = 700 * time.Millisecond
)

// leave goes on serving until the platform sends nothing new, and then until
// what is at work is done.
func (p *proxy) shutDown(server *http.Server) error {
	grace := p.set.Load().Platform.Bounds.Grace.Std() - graceMargin
	p.isLeaving.Store(true)
	p.clock.Sleep(min(drainDelay, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace-min(drainDelay, grace/2)))
	defer cancel()
	err := server.Shutdown(ctx)
	for ctx.Err() == nil && p.active.Load() > 0 {
		p.clock.Sleep(20 * time.Millisecond)
	}
	return errors.Annotate(err, "leaving")
}
