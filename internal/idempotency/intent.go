// Package idempotency is the paper's idempotent replay: one intent record a key, a
// table of its states, quota kept as events, and the vote by which a key's
// first attempt becomes the only one that may be delivered.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// State is where an intent stands.
type State uint8

// The states of an intent. Reserved, AuthorizationPending and
// TimeoutUnresolved are open; Completed, Released and Expired are ends.
const (
	Absent State = iota
	Reserved
	AuthorizationPending
	TimeoutUnresolved
	Completed
	Released
	Expired
)

var stateNames = map[State]string{
	Absent: "Absent", Reserved: "Reserved", AuthorizationPending: "AuthorizationPending",
	TimeoutUnresolved: "TimeoutUnresolved", Completed: "Completed", Released: "Released", Expired: "Expired",
}

// String names the state.
//
// Example:
//
//	idempotency.Reserved.String() // "Reserved"
func (s State) String() string { return stateNames[s] }

// IsOpen tells whether the outcome is still to be shown.
//
// Example:
//
//	if intent.State.IsOpen() { waitForOutcome() }
func (s State) IsOpen() bool { return s >= Reserved && s <= TimeoutUnresolved }

// isToldByOwner tells whether only the owner of a delivered attempt can have brought
// the intent into the state.
func (s State) reportedByOwner() bool { return s >= AuthorizationPending && s <= Completed }

// transitions is the one table of what may follow what. Pending may become
// Released only because a server showed that it did not run the request.
var transitions = map[State]map[State]bool{
	Absent:               {Reserved: true, AuthorizationPending: true, TimeoutUnresolved: true, Completed: true},
	Reserved:             {AuthorizationPending: true, TimeoutUnresolved: true, Completed: true, Released: true, Expired: true},
	AuthorizationPending: {TimeoutUnresolved: true, Completed: true, Released: true, Expired: true},
	TimeoutUnresolved:    {Completed: true, Released: true, Expired: true},
	Expired:              {Completed: true},
}

// MayFollow tells whether the table allows the step.
//
// Example:
//
//	idempotency.MayFollow(idempotency.Completed, idempotency.Reserved) // false
func CanTransition(from, to State) bool { return transitions[from][to] }

// Key is a client's operation key within its tenant. The service is no part of
// it: a route may move between two tries, and the key must still run once.
type Key struct {
	Tenant string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
}

// Attempt names one try of one proxy; no two are the same.
type Attempt string

// Hash is the digest of what a request asks for.
type RequestHash [16]byte

// HashOf digests method, path with query, and body.
//
// Example:
//
//	hash := idempotency.HashOf("POST", "/pay/1?x=2", body)
func HashRequest(method, target string, body []byte) (hash RequestHash) {
	sum := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		sum.Write(size[:])
		sum.Write(part)
	}
	copy(hash[:], sum.Sum(nil))
	return hash
}

// Reply is a recorded terminal response.
type Response struct {
	Status      int    `cbor:"1,keyasint"`
	Seal        string `cbor:"2,keyasint,omitempty"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty"`
}

// Intent is the record of one key. It is never changed in place.
type Intent struct {
	Key           Key          `cbor:"1,keyasint"`
	Attempt       Attempt      `cbor:"2,keyasint"`
	RequestHash   RequestHash  `cbor:"3,keyasint"`
	Route         string       `cbor:"4,keyasint"`
	Service       string       `cbor:"5,keyasint"`
	RouteRevision uint64       `cbor:"6,keyasint"`
	Server        string       `cbor:"7,keyasint,omitempty"`
	Reservation   string       `cbor:"8,keyasint"`
	State         State        `cbor:"9,keyasint"`
	CreatedMs     int64        `cbor:"10,keyasint"`
	Expiry        ExpiryPolicy `cbor:"11,keyasint,omitempty"`
	Response      *Response    `cbor:"12,keyasint,omitempty"`
}

// Expiry is what becomes of a key whose window ended with no outcome shown.
type ExpiryPolicy uint8

// HoldUnresolved keeps answering that the key is in work until the record's
// retention ends: expiry proves nothing.
const HoldUnresolved ExpiryPolicy = 0

// Step returns the intent in its next state, or an error if the table does not
// allow the step.
//
// Example:
//
//	done, err := intent.Step(idempotency.Completed)
func (i Intent) Transition(to State) (Intent, error) {
	if !CanTransition(i.State, to) {
		return i, errors.NotValidf("step from %s to %s", i.State, to)
	}
	i.State = to
	return i, nil
}

func (i *Intent) sizeBytes() int {
	size := 400 + len(i.Key.Key) + len(i.Key.Tenant)
	if i.Response != nil {
		size += len(i.Response.Body)
	}
	return size
}

func (i *Intent) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(i.CreatedMs))
}
