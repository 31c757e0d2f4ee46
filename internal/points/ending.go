package points

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/upstream"
)

// lateEnd is what a try showed after its client was answered: a reply, or that
// nothing ran after all.
type lateEnd struct {
	reply  *upstream.Response
	isFree bool
}

// late ends an inquiry whose time is up.
func (d *delivery) late() error {
	if d.one.lane.IsRepeatable() || d.flying == 0 {
		return apierror.New(apierror.Late, "")
	}
	open := &openEnd{kind: apierror.Late, late: make(chan lateEnd, 1)}
	results, flying, leave, isOpen := d.results, d.flying, d.leave, d.isOpen
	d.flying, d.leave = 0, func() {}
	go func() {
		defer leave()
		end := lateEnd{isFree: !isOpen}
		for range flying {
			got := <-results
			switch {
			case errors.Is(got.err, upstream.ErrNotSent):
			case got.err != nil:
				end.isFree = false
			case got.reply.IsNotExecuted():
			default:
				end.isFree = false
				if !isPromise(got.reply.Status) {
					end.reply = got.reply
				}
			}
		}
		open.late <- end
	}()
	return open
}

// sweep lets the tries that lost run to their end, and frees what they hold.
func (d *delivery) sweep() {
	if d.flying == 0 {
		d.leave()
		return
	}
	results, flying, leave := d.results, d.flying, d.leave
	go func() {
		defer leave()
		for range flying {
			if got := <-results; got.reply != nil {
				got.reply.Finish(false)
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
