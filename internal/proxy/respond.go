package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/upstream"
)

// writeError writes the response that belongs to the error's kind.
func (p *proxy) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := apierror.ResponseInterrupted
	var apiErr *apierror.Error
	if errors.As(err, &apiErr) {
		kind = apiErr.Kind
	}
	answer := apierror.ResponseFor(kind)
	if apiErr != nil && apiErr.RetryAfter > 0 {
		answer.RetryAfter = apiErr.RetryAfter
	}
	limitWriteTime(w, time.Now().Add(errorWriteTime))
	header := w.Header()
	if id := r.Header.Get(upstream.HeaderAttempt); id != "" {
		header.Set(upstream.HeaderAttempt, id)
	}
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if answer.Close {
		header.Set("Connection", "close")
	}
	header["Date"] = nil
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(answer.Reason)+1))
	w.WriteHeader(answer.Status)
	_, _ = io.WriteString(w, answer.Reason+"\n")
}

// mayHaveExecuted reports whether a request that failed with err may have been executed.
func mayHaveExecuted(err error) bool {
	var apiErr *apierror.Error
	return errors.Is(err, errClientGone) || errors.As(err, &apiErr) && (apiErr.Kind == apierror.ResponseInterrupted || apiErr.Kind == apierror.ResponseTimeout)
}

// minWriteTime is how long a client has at least to take an answer, however late it came.
const minWriteTime = 50 * time.Millisecond

// errorWriteTime is how long a client has to take an answer of our own. It is short and waits only behind
// answers that the client has not read.
const errorWriteTime = time.Second

// limitWriteTime ends writes to the client at the request's deadline. A client that does not read would
// otherwise hold its server, and what else the request occupies, for as long as it likes. The listener lifts the
// limit when the request has ended.
func limitWriteTime(w http.ResponseWriter, deadline time.Time) {
	if earliest := time.Now().Add(minWriteTime); deadline.Before(earliest) {
		deadline = earliest
	}
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}

// writeResponse passes a server's response to the client until the deadline. upstreamFailed reports
// that the server broke off within the body.
func (p *proxy) writeResponse(w http.ResponseWriter, response *upstream.Response, deadline time.Time) (upstreamFailed bool, err error) {
	limitWriteTime(w, deadline)
	upstream.CopyResponseHeader(w.Header(), response.Header)
	if response.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	writer := p.outbound.Writer(w)
	_, err = writer.Write(response.Body)
	if response.Remainder == nil {
		return false, nil
	}
	reader := &errorRecordingReader{Reader: response.Remainder}
	if err == nil {
		_, err = io.Copy(p.outbound.BulkWriter(w), reader)
	}
	response.Finish(err == nil)
	return reader.err != nil, err
}

// errorRecordingReader keeps the last read error other than io.EOF.
type errorRecordingReader struct {
	io.Reader
	err error
}

func (r *errorRecordingReader) Read(buf []byte) (n int, err error) {
	if n, err = r.Reader.Read(buf); err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
