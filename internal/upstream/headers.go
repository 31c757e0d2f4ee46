// Package upstream delivers client requests to servers over pooled HTTP/1.1
// connections. Rules per header determine what is forwarded in each direction.
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

// HeaderRule determines how a header is forwarded.
type HeaderRule uint8

// The header rules. A header without a rule is forwarded unchanged.
const (
	Pass HeaderRule = iota
	// Drop is for hop-by-hop headers.
	Drop
	// Rewrite is for headers that the proxy sets itself.
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

// connectionHeaders returns the headers that a Connection header declares hop-by-hop.
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

// Request is a client's request with its complete body.
type Request struct {
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	Attempt string
}

// appendHeader appends the request line and the header for one server instance.
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

// CopyResponseHeader copies a server's response header into the response to the client,
// following the header rules.
func CopyResponseHeader(to, from http.Header) {
	hopByHop := connectionHeaders(from)
	for name, values := range from {
		if responseRules[name] == Pass && !hopByHop[name] {
			to[name] = values
		}
	}
	// Prevents net/http from adding these two by itself.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := to[name]; !present {
			to[name] = nil
		}
	}
}
