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

// receiveText reads the given bytes as the response to the attempt "ours".
func receiveText(text []byte, method string, used bool) (*connection, *Response, error) {
	limiter := &headerLimiter{source: bytes.NewReader(text)}
	c := &connection{limiter: limiter, reader: bufio.NewReaderSize(limiter, 4096), used: used}
	response, err := c.receive(Delivery{Request: &Request{Method: method, Attempt: "ours"}, BufferLimit: 1 << 10})
	return c, response, err
}

func responseText(id, status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderAttempt, id, HeaderSeal, fields, len(body), body)
}

// FuzzReceive checks that reading arbitrary server output never panics. A returned
// response carries the request's attempt ID or is a rejection on a new connection, a
// success carries a server seal, and the body is the one that followed that header.
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
			t.Fatalf("accepted a response to %q", ids)
		}
		if response.Status < 200 || response.Status/100 == 2 && response.Header.Get(HeaderSeal) == "" {
			t.Fatalf("accepted status %d without a server seal", response.Status)
		}
		if headRequest && (len(response.Body) > 0 || response.Remainder != nil) {
			t.Fatal("response to HEAD has a body")
		}
		if len(response.Body) > 1<<10+1 {
			t.Fatalf("buffered %d bytes", len(response.Body))
		}
		whole := response.Body
		if response.Remainder != nil {
			remainder, err := io.ReadAll(response.Remainder)
			whole = append(whole, remainder...)
			if err == nil && response.Length >= 0 && int64(len(whole)) != response.Length {
				t.Fatalf("read %d bytes without an error; announced length is %d", len(whole), response.Length)
			}
		}
		// Unless chunked, the body is contiguous in the server's output.
		if !strings.Contains(strings.ToLower(string(text)), "chunked") && !bytes.Contains(text, whole) {
			t.Fatal("body differs from what the server sent")
		}
	})
}

// An announced length alone must not allocate memory for the body.
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
		t.Fatal("accepted a body of 1 byte with an announced length of 60 MB")
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Fatalf("allocated %d bytes", allocated)
	}
}

// A skipped body above the limit must fail the delivery: text in it that looks like a
// response must not be returned.
func TestOversizedSkippedResponseFails(t *testing.T) {
	hidden := responseText("ours", "200 OK", "", "hidden")
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: %d\r\n\r\n", HeaderAttempt, maxSkippedBodyBytes+1+len(hidden))
	limiter := &headerLimiter{source: io.MultiReader(strings.NewReader(header), io.LimitReader(zeros{}, maxSkippedBodyBytes+1), strings.NewReader(hidden))}
	c := &connection{limiter: limiter, reader: bufio.NewReader(limiter)}
	response, err := c.receive(Delivery{Request: &Request{Method: http.MethodGet, Attempt: "ours"}, BufferLimit: 1 << 10})
	if err == nil {
		t.Fatalf("returned %q from the body of another response", response.Body)
	}
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { clear(buffer); return len(buffer), nil }
