// Package hostname says which texts name the same host. Everything that compares hosts
// uses it: the check of configuration changes, the routing table, plans and mirrors.
package hostname

import "strings"

// Normalize returns the form in which equal hosts are the same text. Hosts are compared without
// regard to the case of ASCII letters (RFC 9110, 4.2.3; RFC 3986, 6.2.2.1). A port and a closing
// dot are part of the name.
func Normalize(host string) string {
	for i := range len(host) {
		if isUpper(host[i]) {
			return lower(host)
		}
	}
	return host
}

func isUpper(letter byte) bool { return 'A' <= letter && letter <= 'Z' }

func lower(host string) string {
	letters := []byte(host)
	for i, letter := range letters {
		if isUpper(letter) {
			letters[i] = letter + ('a' - 'A')
		}
	}
	return string(letters)
}

// Equal reports whether two texts name the same host.
func Equal(a, b string) bool { return Normalize(a) == Normalize(b) }

// CutPort returns the host without its port, and whether it has one. The colons of an IPv6 address
// in brackets do not start a port.
func CutPort(host string) (name string, hasPort bool) {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host, false
	}
	return host[:colon], true
}
