// Package mirror copies complete conversations to a shadow service: every node selects
// the same ones without coordination, no copy ever reaches a server that serves
// clients, and the outcomes of the copies are counted, gaps included.
package mirror

import (
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/juju/errors"

	"ploverhitch/internal/hostname"
	"ploverhitch/internal/shedding"
)

// ShadowHeader is the header that every copy carries and that no request to a live
// server may carry.
const ShadowHeader = "Ploverhitch-Shadow"

// Mirror is an operator's configuration for copying conversations on some routes to
// the servers of a shadow service.
type Mirror struct {
	Name   string   `json:"Name"`
	Routes []string `json:"Routes,omitempty"`
	Hosts  []string `json:"Hosts,omitempty"`
	Shadow string   `json:"Shadow"`
	// Share is the fraction of all conversations that is copied.
	Share float64 `json:"Share"`
	// Header or Cookie identifies the conversation; without them the idempotency
	// key does, or else the client's address.
	Header string `json:"Header,omitempty"`
	Cookie string `json:"Cookie,omitempty"`
	// Until is the time at which the mirror ends by itself.
	Until time.Time `json:"Until"`
}

// Route holds the properties of a route that mirrors depend on.
type Route struct {
	Name, Host string
	Services   []string
}

// Check validates a mirror on its own. The error names the field and the reason.
func (m Mirror) Check() error {
	err := validation.ValidateStruct(&m,
		validation.Field(&m.Name, validation.Required),
		validation.Field(&m.Shadow, validation.Required),
		validation.Field(&m.Share, validation.Min(0.0), validation.Max(1.0)),
		validation.Field(&m.Until, validation.Required),
		validation.Field(&m.Cookie, validation.When(m.Header != "", validation.Empty.Error("is set together with Header; only one of them may identify the conversation"))),
		validation.Field(&m.Routes, validation.When(len(m.Hosts) == 0, validation.Required.Error("is empty, and so is Hosts"))),
	)
	return errors.Annotatef(err, "mirror %s", m.Name)
}

// Covers reports whether the mirror copies requests of a route.
func (m Mirror) Covers(route Route) bool {
	return slices.Contains(m.Routes, route.Name) ||
		slices.ContainsFunc(m.Hosts, func(host string) bool { return hostname.Equal(host, route.Host) })
}

// CheckAll validates the mirrors that have not ended against the existing routes and
// services, and against each other. The error names the conflict.
func CheckAll(mirrors []Mirror, routes []Route, isService func(string) bool, now time.Time) error {
	mirrorOfRoute := map[string]string{}
	for _, m := range mirrors {
		if !m.Until.After(now) {
			continue
		}
		if !isService(m.Shadow) {
			return errors.NotFoundf("mirror %s: shadow service %s", m.Name, m.Shadow)
		}
		for _, route := range routes {
			if slices.Contains(route.Services, m.Shadow) {
				return errors.NotValidf("mirror %s: shadow service %s, to which route %s sends requests,", m.Name, m.Shadow, route.Name)
			}
			if !m.Covers(route) {
				continue
			}
			if other, found := mirrorOfRoute[route.Name]; found {
				return errors.NotValidf("mirror %s: route %s, which mirror %s copies too,", m.Name, route.Name, other)
			}
			mirrorOfRoute[route.Name] = m.Name
		}
	}
	return nil
}

// CheckReferences rejects a mirror that names a route or a host that does not exist.
// It is called when the mirror is submitted; a route may be removed later.
func (m Mirror) CheckReferences(routes []Route) error {
	for _, name := range m.Routes {
		if !slices.ContainsFunc(routes, func(route Route) bool { return route.Name == name }) {
			return errors.NotFoundf("mirror %s: route %s", m.Name, name)
		}
	}
	for _, host := range m.Hosts {
		if !slices.ContainsFunc(routes, func(route Route) bool { return hostname.Equal(route.Host, host) }) {
			return errors.NotFoundf("mirror %s: host %s", m.Name, host)
		}
	}
	return nil
}

// Conversation returns the name of the conversation that a request belongs to: the
// same at every node and for every retry.
func (m Mirror) Conversation(header http.Header, key, address string) string {
	if m.Header != "" {
		if value := header.Get(m.Header); value != "" {
			return "header " + value
		}
	}
	if m.Cookie != "" {
		if cookie, err := (&http.Request{Header: header}).Cookie(m.Cookie); err == nil && cookie.Value != "" {
			return "cookie " + cookie.Value
		}
	}
	if key != "" {
		return "key " + key
	}
	return "address " + address
}

// SamplePoint maps the conversation to a number between 0 and 1; it is copied while
// that is below the share in force. It depends only on the mirror's name and shadow
// service, the tenant and the conversation, so a change of the share adds or removes
// entire conversations.
func (m Mirror) SamplePoint(tenant, conversation string) float64 {
	return shedding.HashFraction(0, m.Name, m.Shadow, tenant, conversation)
}

// IncarnationHash returns a node's contribution to Grant.Incarnations, the XOR over
// the nodes.
func IncarnationHash(node, incarnation string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node + "\x00" + incarnation))
	return hash.Sum64()
}

// Grant allows the nodes to copy requests for a mirror. It expires like all grants.
type Grant struct {
	Name    string  `cbor:"1,keyasint" json:"Name"`
	Version uint64  `cbor:"2,keyasint" json:"Version"`
	Share   float64 `cbor:"3,keyasint" json:"Share"`
	// Era numbers the periods in which no node joined, left or restarted; only
	// within one can a conversation be known to be complete.
	Era uint64 `cbor:"4,keyasint" json:"Era"`
	// Incarnations is the combined IncarnationHash of the nodes of the era, each in
	// its current incarnation.
	Incarnations uint64 `cbor:"6,keyasint" json:"Lives"`
	// Settled is set once all reporting nodes use this grant's era.
	Settled bool `cbor:"5,keyasint,omitempty" json:"IsSettled"`
}
