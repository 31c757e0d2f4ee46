package proxy

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/upstream"
)

// lateEnd is what a try showed after its client was answered: a reply, or that
// nothing ran after all.
type lateResult struct {
	response    *upstream.Reply
	notExecuted bool
}

// late ends an inquiry whose time is up.
func (d *delivery) deadlineExceeded() error {
	if d.one.lane.IsRepeatable() || d.flying == 0 {
		return apierror.New(apierror.Late, "")
	}
	unknown := &openEnd{kind: apierror.Late, late: make(chan lateResult, 1)}
	results, inFlight, release, mayHaveExecuted := d.results, d.flying, d.leave, d.isOpen
	d.flying, d.leave = 0, func() {}
	go func() {
		defer release()
		outcome := lateResult{notExecuted: !mayHaveExecuted}
		for range inFlight {
			attempt := <-results
			switch {
			case errors.Is(attempt.err, upstream.ErrNotSent):
			case attempt.err != nil:
				outcome.notExecuted = false
			case attempt.reply.IsNotExecuted():
			default:
				outcome.notExecuted = false
				if !impliesNotExecuted(attempt.reply.Status) {
					outcome.response = attempt.reply
				}
			}
		}
		unknown.late <- outcome
	}()
	return unknown
}

// sweep lets the tries that lost run to their end, and frees what they hold.
func (d *delivery) drainAttempts() {
	if d.flying == 0 {
		d.leave()
		return
	}
	results, inFlight, release := d.results, d.flying, d.leave
	go func() {
		defer release()
		for range inFlight {
			if attempt := <-results; attempt.reply != nil {
				attempt.reply.Finish(false)
			}
		}
	}()
}

// isPromise tells whether a status says that the inquiry did not run; only a
// server's Not-Executed may be told to a client that way.
func impliesNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
