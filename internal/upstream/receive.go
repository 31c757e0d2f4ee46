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
	surplusLimit = 8
	surplusBytes = 64 << 20
	// headBytes is how long the header of a reply may be.
	headBytes = 256 << 10
)

// headLimit bounds what is read from a connection while a reply's header is read,
// so that a header without an end takes no memory without one.
type headLimit struct {
	from io.Reader
	left int
	isOn bool
}

// Read reads what the limit leaves.
func (l *headLimit) Read(into []byte) (count int, err error) {
	if !l.isOn {
		return l.from.Read(into)
	}
	if l.left <= 0 {
		return 0, errors.NotValidf("header of more than %d bytes", headBytes)
	}
	count, err = l.from.Read(into[:min(len(into), l.left)])
	l.left -= count
	return count, err
}

// receive reads the reply that carries the inquiry's id. A reply with another
// id belongs to an earlier inquiry: it is passed over, never handed on.
func (h *hook) receive(order Order) (*Reply, error) {
	inquiry := order.Inquiry
	isUsed := h.isUsed
	h.isUsed, h.hasHead = true, h.hasHead || inquiry.Method == http.MethodHead
	for range surplusLimit {
		response, err := h.readHead(inquiry.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.NotValidf("change of protocol that nobody asked for")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if isReplyTo(response, inquiry.Attempt, isUsed) {
			return h.take(response, order)
		}
		h.isDone = true
		if h.hasHead {
			// Whether that reply has a body depends on which inquiry it answers.
			return nil, errors.NotValidf("reply to another inquiry, of unknown length,")
		}
		if len(response.Header.Values(HeaderAttempt)) == 0 && isTurnedAway(response.StatusCode, response.Header) {
			return nil, errors.NotValidf("refusal of nobody knows which inquiry")
		}
		if err = passOver(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.NotValidf("so many replies to other inquiries")
}

func (h *hook) readHead(method string) (*http.Response, error) {
	h.head.left, h.head.isOn = headBytes, true
	response, err := http.ReadResponse(h.reader, &http.Request{Method: method})
	h.head.isOn = false
	return response, errors.Trace(err)
}

// isReplyTo tells whether a reply is the one to the attempt. A server that turns an
// inquiry away may do so before it has read the id; that is told from a late reply
// to an earlier inquiry only where the connection has carried none.
func isReplyTo(response *http.Response, attempt string, isUsed bool) bool {
	ids := response.Header.Values(HeaderAttempt)
	if len(ids) > 0 {
		return len(ids) == 1 && ids[0] == attempt
	}
	return !isUsed && isTurnedAway(response.StatusCode, response.Header)
}

// passOver reads a reply that nobody waits for to its end.
func passOver(response *http.Response) error {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, surplusBytes+1))
	if err == nil && count > surplusBytes {
		err = errors.NotValidf("surplus reply of more than %d bytes", surplusBytes)
	}
	return errors.Trace(err)
}

func (h *hook) take(response *http.Response, order Order) (*Reply, error) {
	reply := &Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	// Of a reply without a length, too, net/http says that its connection ends it.
	h.isDone = h.isDone || response.Close || len(response.Header.Values(HeaderAttempt)) == 0
	h.until = time.Now().Add(idleSpan(response.Header.Get("Keep-Alive")))
	isSuccess := reply.Status/100 == 2
	if isSuccess && reply.Header.Get(HeaderSeal) == "" {
		return nil, errors.NotValidf("success without a seal")
	}
	if response.Body == http.NoBody {
		return reply, nil
	}
	from := order.In.Reader(response.Body, reply.Length, h.window())
	isPassedOn := isSuccess && order.PassOn > 0 && reply.Length >= order.PassOn
	if reply.Length > order.Buffer || isPassedOn {
		reply.Rest = from
		return reply, nil
	}
	body, err := readAll(from, reply.Length, order.Buffer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply.Body = body; int64(len(body)) > order.Buffer {
		reply.Rest = from
	} else {
		reply.Length = int64(len(body))
	}
	return reply, nil
}

func readAll(from io.Reader, length, buffer int64) ([]byte, error) {
	if length >= 0 {
		return bounded.Read(from, int(length))
	}
	return io.ReadAll(io.LimitReader(from, buffer+1))
}

func idleSpan(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return idleDefault
}

// IsNotExecuted tells whether the server showed that it did not run the
// inquiry.
//
// Example:
//
//	if reply.IsNotExecuted() { tryAnother() }
func (r *Reply) IsNotExecuted() bool { return isTurnedAway(r.Status, r.Header) }

func isTurnedAway(status int, header http.Header) bool {
	return header.Get(HeaderNotExecuted) != "" || status == http.StatusMisdirectedRequest
}
