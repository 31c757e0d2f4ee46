package proxy

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/upstream"
)

// lateEnd is what a try showed after its client was answered: a reply, or that
// nothing ran after all.
type lateEnd struct {
	reply  *upstream.Reply
	isFree bool
}

// late ends an inquiry whose time is up.
func (d *forwarder) late() error {
	if d.request.route.IsRepeatable() || d.inFlight == 0 {
		return apierror.New(apierror.Late, "")
	}
	open := &unresolvedError{kind: apierror.Late, lateResult: make(chan lateEnd, 1)}
	results, flying, leave, isOpen := d.results, d.inFlight, d.untrack, d.unresolved
	d.inFlight, d.untrack = 0, func() {}
	go func() {
		defer leave()
		end := lateEnd{isFree: !isOpen}
		for range flying {
			got := <-results
			switch {
			case errors.Is(got.err, upstream.ErrNotSent):
			case got.err != nil:
				end.isFree = false
			case got.response.IsNotExecuted():
			default:
				end.isFree = false
				if !isPromise(got.response.Status) {
					end.reply = got.response
				}
			}
		}
		open.lateResult <- end
	}()
	return open
}

// sweep lets the tries that lost run to their end, and frees what they hold.
func (d *forwarder) sweep() {
	if d.inFlight == 0 {
		d.untrack()
		return
	}
	results, flying, leave := d.results, d.inFlight, d.untrack
	go func() {
		defer leave()
		for range flying {
			if got := <-results; got.response != nil {
				got.response.Finish(false)
			}
		}
	}()
}

// isPromise tells whether a status says that the inquiry did not run; only a
// server's Not-Executed may be told to a client that way.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
