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
func (l *headerLimiter) Read(into []byte) (count int, err error) {
	if !l.enabled {
		return l.source.Read(into)
	}
	if l.remaining <= 0 {
		return 0, errors.NotValidf("header of more than %d bytes", maxHeaderBytes)
	}
	count, err = l.source.Read(into[:min(len(into), l.remaining)])
	l.remaining -= count
	return count, err
}

// receive reads the reply that carries the inquiry's id. A reply with another
// id belongs to an earlier inquiry: it is passed over, never handed on.
func (h *connection) receive(order Delivery) (*Response, error) {
	inquiry := order.Request
	isUsed := h.used
	h.used, h.sentHead = true, h.sentHead || inquiry.Method == http.MethodHead
	for range maxSkippedResponses {
		response, err := h.readHeader(inquiry.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.NotValidf("change of protocol that nobody asked for")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if answersAttempt(response, inquiry.Attempt, isUsed) {
			return h.readBody(response, order)
		}
		h.noReuse = true
		if h.sentHead {
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

func (h *connection) readHeader(method string) (*http.Response, error) {
	h.limiter.remaining, h.limiter.enabled = maxHeaderBytes, true
	response, err := http.ReadResponse(h.reader, &http.Request{Method: method})
	h.limiter.enabled = false
	return response, errors.Trace(err)
}

// isReplyTo tells whether a reply is the one to the attempt. A server that turns an
// inquiry away may do so before it has read the id; that is told from a late reply
// to an earlier inquiry only where the connection has carried none.
func answersAttempt(response *http.Response, attempt string, isUsed bool) bool {
	ids := response.Header.Values(HeaderAttempt)
	if len(ids) > 0 {
		return len(ids) == 1 && ids[0] == attempt
	}
	return !isUsed && notExecuted(response.StatusCode, response.Header)
}

// passOver reads a reply that nobody waits for to its end.
func discardBody(response *http.Response) error {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBodyBytes+1))
	if err == nil && count > maxSkippedBodyBytes {
		err = errors.NotValidf("surplus reply of more than %d bytes", maxSkippedBodyBytes)
	}
	return errors.Trace(err)
}

func (h *connection) readBody(response *http.Response, order Delivery) (*Response, error) {
	reply := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	// Of a reply without a length, too, net/http says that its connection ends it.
	h.noReuse = h.noReuse || response.Close || len(response.Header.Values(HeaderAttempt)) == 0
	h.idleUntil = time.Now().Add(idleTimeout(response.Header.Get("Keep-Alive")))
	isSuccess := reply.Status/100 == 2
	if isSuccess && reply.Header.Get(HeaderSeal) == "" {
		return nil, errors.NotValidf("success without a seal")
	}
	if response.Body == http.NoBody {
		return reply, nil
	}
	from := order.Inbound.Reader(response.Body, reply.Length, h.receiveBuffer())
	isPassedOn := isSuccess && order.StreamThreshold > 0 && reply.Length >= order.StreamThreshold
	if reply.Length > order.BufferLimit || isPassedOn {
		reply.Remainder = from
		return reply, nil
	}
	body, err := readLimited(from, reply.Length, order.BufferLimit)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply.Body = body; int64(len(body)) > order.BufferLimit {
		reply.Remainder = from
	} else {
		reply.Length = int64(len(body))
	}
	return reply, nil
}

func readLimited(from io.Reader, length, buffer int64) ([]byte, error) {
	if length >= 0 {
		return bounded.Read(from, int(length))
	}
	return io.ReadAll(io.LimitReader(from, buffer+1))
}

func idleTimeout(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
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
func (r *Response) NotExecuted() bool { return notExecuted(r.Status, r.Header) }

func notExecuted(status int, header http.Header) bool {
	return header.Get(HeaderNotExecuted) != "" || status == http.StatusMisdirectedRequest
}
