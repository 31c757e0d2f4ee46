package proxy

import (
	"net/http"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/upstream"
)

// lateResult is what the attempts in flight showed after the client had its
// answer: a response, or that the request was not executed.
type lateResult struct {
	response    *upstream.Response
	notExecuted bool
}

// deadlineExceeded ends a delivery whose deadline has passed. If a non-repeatable
// request is still in flight, the returned error carries a channel with its late
// result.
func (d *forwarder) deadlineExceeded() error {
	if d.request.route.Repeatable() || d.inFlight == 0 {
		return apierror.New(apierror.ResponseTimeout, "")
	}
	unknown := &unresolvedError{kind: apierror.ResponseTimeout, lateResult: make(chan lateResult, 1)}
	results, inFlight, release, mayHaveExecuted := d.results, d.inFlight, d.untrack, d.unresolved
	d.inFlight, d.untrack = 0, func() {}
	go func() {
		defer release()
		outcome := lateResult{notExecuted: !mayHaveExecuted}
		for range inFlight {
			attempt := <-results
			switch {
			case errors.Is(attempt.err, upstream.ErrNotSent):
			case attempt.err != nil:
				outcome.notExecuted = false
			case attempt.response.IsNotExecuted():
			default:
				outcome.notExecuted = false
				if !impliesNotExecuted(attempt.response.Status) {
					outcome.response = attempt.response
				}
			}
		}
		unknown.lateResult <- outcome
	}()
	return unknown
}

// drainAttempts lets the attempts still in flight run to their end and releases
// what they hold.
func (d *forwarder) drainAttempts() {
	if d.inFlight == 0 {
		d.untrack()
		return
	}
	results, inFlight, release := d.results, d.inFlight, d.untrack
	go func() {
		defer release()
		for range inFlight {
			if attempt := <-results; attempt.response != nil {
				attempt.response.Finish(false)
			}
		}
	}()
}

// impliesNotExecuted reports whether clients read the status as "not executed".
// Such a status may reach a client only if the server sent Not-Executed.
func impliesNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
