package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// readAs reads what a server sent as the reply to the attempt "ours".
func readAs(text []byte, method string, isUsed bool) (*connection, *Response, error) {
	head := &headerLimiter{source: bytes.NewReader(text)}
	h := &connection{limiter: head, reader: bufio.NewReaderSize(head, 4096), used: isUsed}
	reply, err := h.receive(Delivery{Request: &Request{Method: method, Attempt: "ours"}, BufferLimit: 1 << 10})
	return h, reply, err
}

func answer(id, status, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderAttempt, id, HeaderSeal, more, len(body), body)
}

// FuzzReceive holds that reading a server's answers never panics, and that an answer
// that is handed on bears the inquiry's own id, or is a refusal on a fresh connection;
// that a success is sealed; and that the body is what stood behind that very header.
func FuzzReceive(f *testing.F) {
	for _, text := range []string{
		answer("ours", "200 OK", "", "body"),
		answer("another", "200 OK", "", "stray") + answer("ours", "200 OK", "", "body"),
		"HTTP/1.1 100 Continue\r\n\r\n" + answer("ours", "500 Internal Server Error", "", ""),
		answer("ours", "200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
		answer("ours", "200 OK", "", "body")[:100],
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\n" + HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ours\r\n" + HeaderSeal + ": s\r\n\r\nto the end",
		"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ours\r\n" + HeaderSeal + ": s\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer("ours", "200 OK", "", "body"),
		"\x00\x01 no answer at all\r\n\r\n",
	} {
		f.Add([]byte(text), false, false)
		f.Add([]byte(text), true, true)
	}
	f.Fuzz(func(t *testing.T, text []byte, isHead, isUsed bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		_, reply, err := readAs(text, method, isUsed)
		if err != nil {
			return
		}
		ids := reply.Header.Values(HeaderAttempt)
		isRefusal := len(ids) == 0 && !isUsed && reply.NotExecuted()
		if !isRefusal && (len(ids) != 1 || ids[0] != "ours") {
			t.Fatalf("a reply to %q was taken", ids)
		}
		if reply.Status < 200 || reply.Status/100 == 2 && reply.Header.Get(HeaderSeal) == "" {
			t.Fatalf("status %d without a seal was taken", reply.Status)
		}
		if isHead && (len(reply.Body) > 0 || reply.Remainder != nil) {
			t.Fatal("a reply to HEAD has a body")
		}
		if len(reply.Body) > 1<<10+1 {
			t.Fatalf("%d bytes were held", len(reply.Body))
		}
		whole := reply.Body
		if reply.Remainder != nil {
			rest, err := io.ReadAll(reply.Remainder)
			whole = append(whole, rest...)
			if err == nil && reply.Length >= 0 && int64(len(whole)) != reply.Length {
				t.Fatalf("%d bytes look like all of %d", len(whole), reply.Length)
			}
		}
		// Chunks apart, a body stands in one piece in what was sent.
		if !strings.Contains(strings.ToLower(string(text)), "chunked") && !bytes.Contains(text, whole) {
			t.Fatal("the body was not sent so")
		}
	})
}

func TestReplyTakesNoMemoryForAClaim(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ours\r\n" + HeaderSeal + ": s\r\nContent-Length: %d\r\n\r\nx"
	text := strings.NewReader(fmt.Sprintf(head, 60<<20))
	limit := &headerLimiter{source: text}
	h := &connection{limiter: limit, reader: bufio.NewReader(limit)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := h.receive(Delivery{Request: &Request{Method: http.MethodGet, Attempt: "ours"}, BufferLimit: 64 << 20})
	runtime.ReadMemStats(&after)
	if err == nil {
		t.Fatal("one byte was taken for 60 MB")
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > 1<<20 {
		t.Fatalf("%d bytes were taken", taken)
	}
}

func TestSurplusReplyBeyondItsLimitEndsTheConnection(t *testing.T) {
	hidden := answer("ours", "200 OK", "", "hidden")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: %d\r\n\r\n", HeaderAttempt, maxSkippedBodyBytes+1+len(hidden))
	limit := &headerLimiter{source: io.MultiReader(strings.NewReader(head), io.LimitReader(zeros{}, maxSkippedBodyBytes+1), strings.NewReader(hidden))}
	h := &connection{limiter: limit, reader: bufio.NewReader(limit)}
	reply, err := h.receive(Delivery{Request: &Request{Method: http.MethodGet, Attempt: "ours"}, BufferLimit: 1 << 10})
	if err == nil {
		t.Fatalf("%q was taken out of another reply's body", reply.Body)
	}
}

// zeros is a source of nothing but zeros.
type zeros struct{}

func (zeros) Read(into []byte) (int, error) { clear(into); return len(into), nil }
