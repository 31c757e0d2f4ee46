// Package loopline copies whole conversations to a shadow build: every node
// chooses the same ones with no talk between them, no copy ever reaches a server
// that serves clients, and what came of the copies is counted, gaps included.
package loopline

import (
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/juju/errors"

	"ploverhitch/internal/shedding"
)

// Marker is the header that every copy bears, and that nothing which is to reach
// a live server may bear.
const Marker = "Ploverhitch-Shadow"

// Mirror is an operator's order to copy conversations on some lanes to the
// servers of a shadow service.
type Mirror struct {
	Name   string   `json:"Name"`
	Lanes  []string `json:"Routes,omitempty"`
	Hosts  []string `json:"Hosts,omitempty"`
	Shadow string   `json:"Shadow"`
	// Share is the part of all conversations that is copied.
	Share float64 `json:"Share"`
	// Header or Cookie names the conversation; without both the operation's key
	// does, or else the client's address.
	Header string `json:"Header,omitempty"`
	Cookie string `json:"Cookie,omitempty"`
	// Until is when the mirror ends by itself.
	Until time.Time `json:"Until"`
}

// Lane is what a mirror has to know of a lane.
type Lane struct {
	Name, Host string
	Services   []string
}

// Check looks at a mirror by itself. The error names field and reason.
//
// Example:
//
//	err := mirror.Check()
func (m Mirror) Check() error {
	err := validation.ValidateStruct(&m,
		validation.Field(&m.Name, validation.Required),
		validation.Field(&m.Shadow, validation.Required),
		validation.Field(&m.Share, validation.Min(0.0), validation.Max(1.0)),
		validation.Field(&m.Until, validation.Required),
		validation.Field(&m.Cookie, validation.When(m.Header != "", validation.Empty.Error("stands beside Header; one of them names the conversation"))),
		validation.Field(&m.Lanes, validation.When(len(m.Hosts) == 0, validation.Required.Error("is empty, and so is Hosts"))),
	)
	return errors.Annotatef(err, "mirror %s", m.Name)
}

// Covers tells whether the mirror copies from a lane.
//
// Example:
//
//	if mirror.Covers(lane) { copy() }
func (m Mirror) Covers(lane Lane) bool {
	return slices.Contains(m.Lanes, lane.Name) ||
		slices.ContainsFunc(m.Hosts, func(host string) bool { return strings.EqualFold(host, lane.Host) })
}

// CheckAll holds the mirrors that have not ended against the lanes and services
// there are. The error names what does not fit.
//
// Example:
//
//	err := loopline.CheckAll(mirrors, lanes, isService, time.Now())
func CheckAll(mirrors []Mirror, lanes []Lane, isService func(string) bool, now time.Time) error {
	taken := map[string]string{}
	for _, m := range mirrors {
		if !m.Until.After(now) {
			continue
		}
		if !isService(m.Shadow) {
			return errors.NotFoundf("mirror %s: shadow service %s", m.Name, m.Shadow)
		}
		for _, lane := range lanes {
			if slices.Contains(lane.Services, m.Shadow) {
				return errors.NotValidf("mirror %s: shadow service %s, to which lane %s delivers,", m.Name, m.Shadow, lane.Name)
			}
			if !m.Covers(lane) {
				continue
			}
			if other, isTaken := taken[lane.Name]; isTaken {
				return errors.NotValidf("mirror %s: lane %s, which mirror %s copies too,", m.Name, lane.Name, other)
			}
			taken[lane.Name] = m.Name
		}
	}
	return nil
}

// CheckNamed refuses a mirror that names a lane or a host which is not there. It
// is asked when the mirror is sent; a lane may be dropped later.
//
// Example:
//
//	err := mirror.CheckNamed(lanes)
func (m Mirror) CheckNamed(lanes []Lane) error {
	for _, name := range m.Lanes {
		if !slices.ContainsFunc(lanes, func(lane Lane) bool { return lane.Name == name }) {
			return errors.NotFoundf("mirror %s: lane %s", m.Name, name)
		}
	}
	for _, host := range m.Hosts {
		if !slices.ContainsFunc(lanes, func(lane Lane) bool { return strings.EqualFold(lane.Host, host) }) {
			return errors.NotFoundf("mirror %s: host %s", m.Name, host)
		}
	}
	return nil
}

// Conversation is the name of the conversation that an inquiry belongs to: the
// same at every node and for every retry.
//
// Example:
//
//	name := mirror.Conversation(r.Header, key, clientAddress)
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

// Draw is where the conversation falls between 0 and 1; it is copied while that is
// below the share in force. It depends on the mirror's name and its shadow, and on
// the conversation, so a change of the share adds or takes whole conversations.
//
// Example:
//
//	isCopied := mirror.Draw(tenant, conversation) < grant.Share
func (m Mirror) Draw(tenant, conversation string) float64 {
	return shedding.HashFraction(0, m.Name, m.Shadow, tenant, conversation)
}

// LifeOf is a node's part of the sum of all lives.
//
// Example:
//
//	lives ^= loopline.LifeOf(report.Node, report.Life)
func LifeOf(node, life string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(node + "\x00" + life))
	return sum.Sum64()
}

// Grant lets the nodes copy for a mirror. It lapses as all grants do.
type Grant struct {
	Name    string  `cbor:"1,keyasint" json:"Name"`
	Version uint64  `cbor:"2,keyasint" json:"Version"`
	Share   float64 `cbor:"3,keyasint" json:"Share"`
	// Era numbers the spans within which no node came or went; only within one can
	// a conversation be known to be whole.
	Era uint64 `cbor:"4,keyasint" json:"Era"`
	// Lives is the sum over the nodes of that era, each in its present life.
	Lives uint64 `cbor:"6,keyasint" json:"Lives"`
	// IsSettled: all nodes that report work by this grant's era.
	IsSettled bool `cbor:"5,keyasint,omitempty" json:"IsSettled"`
}
