// Package upstream joins the two sides of an inquiry: what net/http reads from
// clients, and the connections over which it is delivered to servers. A list
// of rules says what happens to each header.
package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers of the gateway's own protocol.
const (
	HeaderAttempt      = "Ploverhitch-Attempt-Id"
	HeaderDeadline     = "Ploverhitch-Deadline-Ms"
	HeaderOperationKey = "Ploverhitch-Operation-Key"
	HeaderSeal         = "Ploverhitch-Server-Seal"
	HeaderTarget       = "Ploverhitch-Target-Instance"
	HeaderNotExecuted  = "Ploverhitch-Not-Executed"
	HeaderInstance     = "Ploverhitch-Instance-Id"
)

// Rule says what happens to a header on its way.
type HeaderRule uint8

// The rules: a header without one is passed along.
const (
	Pass HeaderRule = iota
	// Drop is for headers that concern one connection only.
	Drop
	// Rewrite is for headers that this package writes itself.
	Rewrite
)

var requestRules = map[string]HeaderRule{
	"Connection": Drop, "Keep-Alive": Drop, "Proxy-Connection": Drop, "Te": Drop, "Trailer": Drop,
	"Transfer-Encoding": Drop, "Upgrade": Drop, "Expect": Drop, "Proxy-Authorization": Drop, "Proxy-Authenticate": Drop,
	"Host": Rewrite, "Content-Length": Rewrite, HeaderDeadline: Rewrite, HeaderTarget: Rewrite,
}

var responseRules = map[string]HeaderRule{
	"Connection": Drop, "Keep-Alive": Drop, "Proxy-Connection": Drop, "Te": Drop, "Trailer": Drop,
	"Transfer-Encoding": Drop, "Upgrade": Drop, "Proxy-Authenticate": Drop, "Content-Length": Rewrite,
}

// named are the headers that a Connection header gives over to one connection.
func connectionHeaders(header http.Header) map[string]bool {
	lines := header["Connection"]
	if len(lines) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, line := range lines {
		for _, name := range strings.Split(line, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// Inquiry is what is delivered: the client's inquiry, read whole.
type Request struct {
	Method string
	// Target is path and query just as the client wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	Attempt string
}

// appendHead writes the inquiry's head for one server.
func (r *Request) appendHeader(buffer []byte, remaining time.Duration, instance string) []byte {
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, r.Target...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, r.Host...)
	hopByHop := connectionHeaders(r.Header)
	for name, values := range r.Header {
		if requestRules[name] != Pass || hopByHop[name] {
			continue
		}
		for _, value := range values {
			buffer = appendField(buffer, name, value)
		}
	}
	buffer = appendField(buffer, HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	buffer = appendField(buffer, HeaderTarget, instance)
	if r.HasBody {
		buffer = appendField(buffer, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(buffer, "\r\n\r\n"...)
}

func appendField(buffer []byte, name, value string) []byte {
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	return append(buffer, value...)
}

// CopyBack puts a server's headers into the client's reply, by the rules.
//
// Example:
//
//	upstream.CopyBack(w.Header(), reply.Header)
func CopyResponseHeader(to, from http.Header) {
	hopByHop := connectionHeaders(from)
	for name, values := range from {
		if responseRules[name] == Pass && !hopByHop[name] {
			to[name] = values
		}
	}
	// net/http would add these two by itself.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := to[name]; !present {
			to[name] = nil
		}
	}
}
