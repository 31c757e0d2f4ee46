package upstream

import (
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
)

const (
	// maxSkippedResponses limits the responses read for one request: interim ones and
	// those to other requests are skipped. maxSkippedBodyBytes limits the body of each.
	maxSkippedResponses = 8
	maxSkippedBodyBytes = 64 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 256 << 10
)

// headerLimiter limits what is read from a connection while a response header is
// parsed, so that an endless header does not use unlimited memory.
type headerLimiter struct {
	source    io.Reader
	remaining int
	enabled   bool
}

// Read reads up to the remaining limit.
func (l *headerLimiter) Read(buffer []byte) (count int, err error) {
	if !l.enabled {
		return l.source.Read(buffer)
	}
	if l.remaining <= 0 {
		return 0, errors.NotValidf("header of more than %d bytes", maxHeaderBytes)
	}
	count, err = l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= count
	return count, err
}

// receive reads the response that carries the request's attempt ID. A response with
// another ID belongs to an earlier request: it is skipped and never returned.
func (c *connection) receive(delivery Delivery) (*Response, error) {
	request := delivery.Request
	used := c.used
	c.used, c.sentHead = true, c.sentHead || request.Method == http.MethodHead
	for range maxSkippedResponses {
		response, err := c.readHeader(request.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.NotValidf("unrequested protocol switch")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if answersAttempt(response, request.Attempt, used) {
			return c.readBody(response, delivery)
		}
		c.noReuse = true
		if c.sentHead {
			// Whether the response has a body depends on the request that it answers.
			return nil, errors.NotValidf("response to another request with unknown body length")
		}
		if len(response.Header.Values(HeaderAttempt)) == 0 && notExecuted(response.StatusCode, response.Header) {
			return nil, errors.NotValidf("rejection without an attempt ID on a reused connection")
		}
		if err = discardBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.NotValidf("sequence of responses without the requested attempt ID")
}

func (c *connection) readHeader(method string) (*http.Response, error) {
	c.limiter.remaining, c.limiter.enabled = maxHeaderBytes, true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.limiter.enabled = false
	return response, errors.Trace(err)
}

// answersAttempt reports whether a response belongs to the attempt. A server may reject
// a request before it has read the attempt ID. Such a response can be distinguished
// from a late response to an earlier request only if the connection carried none.
func answersAttempt(response *http.Response, attempt string, used bool) bool {
	ids := response.Header.Values(HeaderAttempt)
	if len(ids) > 0 {
		return len(ids) == 1 && ids[0] == attempt
	}
	return !used && notExecuted(response.StatusCode, response.Header)
}

// discardBody reads and discards the body of a skipped response.
func discardBody(response *http.Response) error {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBodyBytes+1))
	if err == nil && count > maxSkippedBodyBytes {
		err = errors.NotValidf("skipped response of more than %d bytes", maxSkippedBodyBytes)
	}
	return errors.Trace(err)
}

// readBody returns the response with its body, or with a Remainder if the body exceeds
// the buffer limit or is streamed.
func (c *connection) readBody(httpResponse *http.Response, delivery Delivery) (*Response, error) {
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength}
	// net/http also sets Close for a response without a length, which ends with its
	// connection.
	c.noReuse = c.noReuse || httpResponse.Close || len(httpResponse.Header.Values(HeaderAttempt)) == 0
	c.idleUntil = time.Now().Add(idleTimeout(httpResponse.Header.Get("Keep-Alive")))
	success := response.Status/100 == 2
	if success && response.Header.Get(HeaderSeal) == "" {
		return nil, errors.NotValidf("success response without a server seal")
	}
	if httpResponse.Body == http.NoBody {
		return response, nil
	}
	source := delivery.Inbound.Reader(httpResponse.Body, response.Length, c.receiveBuffer())
	streamed := success && delivery.StreamThreshold > 0 && response.Length >= delivery.StreamThreshold
	if response.Length > delivery.BufferLimit || streamed {
		response.Remainder = source
		return response, nil
	}
	body, err := readLimited(source, response.Length, delivery.BufferLimit)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.Body = body; int64(len(body)) > delivery.BufferLimit {
		response.Remainder = source
	} else {
		response.Length = int64(len(body))
	}
	return response, nil
}

// readLimited reads a body of the given length (-1 if unknown), of which at most one byte
// exceeds the limit.
func readLimited(source io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		return bounded.Read(source, int(length))
	}
	return io.ReadAll(io.LimitReader(source, min(limit, math.MaxInt64-1)+1))
}

// idleTimeout returns how long a connection may be idle, from its Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if announced, ok := clock.ParseAmount(value, time.Second); ok {
				return max(0, announced.Std()-idleTimeoutMargin)
			}
		}
	}
	return defaultIdleTimeout
}

// IsNotExecuted reports whether the response shows that the server did not execute the
// request.
func (r *Response) IsNotExecuted() bool { return notExecuted(r.Status, r.Header) }

func notExecuted(status int, header http.Header) bool {
	return header.Get(HeaderNotExecuted) != "" || status == http.StatusMisdirectedRequest
}
