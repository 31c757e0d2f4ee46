package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/bounded"
)

const (
	// surplusLimit is how many replies to other inquiries, and interim ones, are
	// passed over, and surplusBytes how long such a reply may be.
	maxSkippedResponses = 8
	maxSkippedBodyBytes = 64 << 20
	// headBytes is how long the header of a reply may be.
	maxHeaderBytes = 256 << 10
)

// headLimit bounds what is read from a connection while a reply's header is read,
// so that a header without an end takes no memory without one.
type headerLimiter struct {
	source    io.Reader
	remaining int
	enabled   bool
}

// Read reads what the limit leaves.
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

// receive reads the reply that carries the inquiry's id. A reply with another
// id belongs to an earlier inquiry: it is passed over, never handed on.
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
			return nil, errors.NotValidf("change of protocol that nobody asked for")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if answersAttempt(response, request.Attempt, used) {
			return c.readBody(response, delivery)
		}
		c.noReuse = true
		if c.sentHead {
			// Whether that reply has a body depends on which inquiry it answers.
			return nil, errors.NotValidf("reply to another inquiry, of unknown length,")
		}
		if len(response.Header.Values(HeaderAttempt)) == 0 && notExecuted(response.StatusCode, response.Header) {
			return nil, errors.NotValidf("refusal of nobody knows which inquiry")
		}
		if err = discardBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.NotValidf("so many replies to other inquiries")
}

func (c *connection) readHeader(method string) (*http.Response, error) {
	c.limiter.remaining, c.limiter.enabled = maxHeaderBytes, true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.limiter.enabled = false
	return response, errors.Trace(err)
}

// isReplyTo tells whether a reply is the one to the attempt. A server that turns an
// inquiry away may do so before it has read the id; that is told from a late reply
// to an earlier inquiry only where the connection has carried none.
func answersAttempt(response *http.Response, attempt string, used bool) bool {
	ids := response.Header.Values(HeaderAttempt)
	if len(ids) > 0 {
		return len(ids) == 1 && ids[0] == attempt
	}
	return !used && notExecuted(response.StatusCode, response.Header)
}

// passOver reads a reply that nobody waits for to its end.
func discardBody(response *http.Response) error {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBodyBytes+1))
	if err == nil && count > maxSkippedBodyBytes {
		err = errors.NotValidf("surplus reply of more than %d bytes", maxSkippedBodyBytes)
	}
	return errors.Trace(err)
}

func (c *connection) readBody(httpResponse *http.Response, delivery Delivery) (*Response, error) {
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength}
	// Of a reply without a length, too, net/http says that its connection ends it.
	c.noReuse = c.noReuse || httpResponse.Close || len(httpResponse.Header.Values(HeaderAttempt)) == 0
	c.idleUntil = time.Now().Add(idleTimeout(httpResponse.Header.Get("Keep-Alive")))
	success := response.Status/100 == 2
	if success && response.Header.Get(HeaderSeal) == "" {
		return nil, errors.NotValidf("success without a seal")
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

func readLimited(source io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		return bounded.Read(source, int(length))
	}
	return io.ReadAll(io.LimitReader(source, limit+1))
}

func idleTimeout(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
			}
		}
	}
	return defaultIdleTimeout
}

// IsNotExecuted tells whether the server showed that it did not run the
// inquiry.
//
// Example:
//
//	if reply.IsNotExecuted() { tryAnother() }
func (r *Response) IsNotExecuted() bool { return notExecuted(r.Status, r.Header) }

func notExecuted(status int, header http.Header) bool {
	return header.Get(HeaderNotExecuted) != "" || status == http.StatusMisdirectedRequest
}
