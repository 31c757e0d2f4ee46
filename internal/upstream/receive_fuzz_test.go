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
func receiveText(text []byte, method string, used bool) (*connection, *Response, error) {
	limiter := &headerLimiter{source: bytes.NewReader(text)}
	c := &connection{limiter: limiter, reader: bufio.NewReaderSize(limiter, 4096), used: used}
	response, err := c.receive(Delivery{Request: &Request{Method: method, Attempt: "ours"}, BufferLimit: 1 << 10})
	return c, response, err
}

func responseText(id, status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderAttempt, id, HeaderSeal, fields, len(body), body)
}

// FuzzReceive holds that reading a server's answers never panics, and that an answer
// that is handed on bears the inquiry's own id, or is a refusal on a fresh connection;
// that a success is sealed; and that the body is what stood behind that very header.
func FuzzReceive(f *testing.F) {
	for _, text := range []string{
		responseText("ours", "200 OK", "", "body"),
		responseText("another", "200 OK", "", "stray") + responseText("ours", "200 OK", "", "body"),
		"HTTP/1.1 100 Continue\r\n\r\n" + responseText("ours", "500 Internal Server Error", "", ""),
		responseText("ours", "200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
		responseText("ours", "200 OK", "", "body")[:100],
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\n" + HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ours\r\n" + HeaderSeal + ": s\r\n\r\nto the end",
		"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ours\r\n" + HeaderSeal + ": s\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + responseText("ours", "200 OK", "", "body"),
		"\x00\x01 no answer at all\r\n\r\n",
	} {
		f.Add([]byte(text), false, false)
		f.Add([]byte(text), true, true)
	}
	f.Fuzz(func(t *testing.T, text []byte, headRequest, used bool) {
		method := http.MethodGet
		if headRequest {
			method = http.MethodHead
		}
		_, response, err := receiveText(text, method, used)
		if err != nil {
			return
		}
		ids := response.Header.Values(HeaderAttempt)
		rejected := len(ids) == 0 && !used && response.IsNotExecuted()
		if !rejected && (len(ids) != 1 || ids[0] != "ours") {
			t.Fatalf("a reply to %q was taken", ids)
		}
		if response.Status < 200 || response.Status/100 == 2 && response.Header.Get(HeaderSeal) == "" {
			t.Fatalf("status %d without a seal was taken", response.Status)
		}
		if headRequest && (len(response.Body) > 0 || response.Remainder != nil) {
			t.Fatal("a reply to HEAD has a body")
		}
		if len(response.Body) > 1<<10+1 {
			t.Fatalf("%d bytes were held", len(response.Body))
		}
		whole := response.Body
		if response.Remainder != nil {
			remainder, err := io.ReadAll(response.Remainder)
			whole = append(whole, remainder...)
			if err == nil && response.Length >= 0 && int64(len(whole)) != response.Length {
				t.Fatalf("%d bytes look like all of %d", len(whole), response.Length)
			}
		}
		// Chunks apart, a body stands in one piece in what was sent.
		if !strings.Contains(strings.ToLower(string(text)), "chunked") && !bytes.Contains(text, whole) {
			t.Fatal("the body was not sent so")
		}
	})
}

func TestAnnouncedLengthAllocatesNoMemory(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ours\r\n" + HeaderSeal + ": s\r\nContent-Length: %d\r\n\r\nx"
	text := strings.NewReader(fmt.Sprintf(header, 60<<20))
	limiter := &headerLimiter{source: text}
	c := &connection{limiter: limiter, reader: bufio.NewReader(limiter)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := c.receive(Delivery{Request: &Request{Method: http.MethodGet, Attempt: "ours"}, BufferLimit: 64 << 20})
	runtime.ReadMemStats(&after)
	if err == nil {
		t.Fatal("one byte was taken for 60 MB")
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Fatalf("%d bytes were taken", allocated)
	}
}

func TestOversizedSkippedResponseFails(t *testing.T) {
	hidden := responseText("ours", "200 OK", "", "hidden")
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: %d\r\n\r\n", HeaderAttempt, maxSkippedBodyBytes+1+len(hidden))
	limiter := &headerLimiter{source: io.MultiReader(strings.NewReader(header), io.LimitReader(zeros{}, maxSkippedBodyBytes+1), strings.NewReader(hidden))}
	c := &connection{limiter: limiter, reader: bufio.NewReader(limiter)}
	response, err := c.receive(Delivery{Request: &Request{Method: http.MethodGet, Attempt: "ours"}, BufferLimit: 1 << 10})
	if err == nil {
		t.Fatalf("%q was taken out of another reply's body", response.Body)
	}
}

// zeros is a source of nothing but zeros.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { clear(buffer); return len(buffer), nil }
