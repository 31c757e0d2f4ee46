// Package idempotency implements idempotent replay of requests: one intent record per
// operation key, its state machine, quota accounting by events, and the majority vote
// by which the first attempt for a key becomes the only one that may be delivered.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// State is the state of an intent.
type State uint8

// The states of an intent. Reserved, AuthorizationPending and TimeoutUnresolved are
// open; Completed, Released and Expired are final, except that an outcome may still
// be recorded for an expired intent.
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

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// IsOpen reports whether the outcome is still unknown.
func (s State) IsOpen() bool { return s >= Reserved && s <= TimeoutUnresolved }

// reportedByOwner reports whether only the owner of a delivered attempt can have
// moved the intent into the state.
func (s State) reportedByOwner() bool { return s >= AuthorizationPending && s <= Completed }

// transitions lists the allowed state changes. A pending intent becomes Released only
// when a server has shown that it did not execute the request.
var transitions = map[State]map[State]bool{
	Absent:               {Reserved: true, AuthorizationPending: true, TimeoutUnresolved: true, Completed: true},
	Reserved:             {AuthorizationPending: true, TimeoutUnresolved: true, Completed: true, Released: true, Expired: true},
	AuthorizationPending: {TimeoutUnresolved: true, Completed: true, Released: true, Expired: true},
	TimeoutUnresolved:    {Completed: true, Released: true, Expired: true},
	Expired:              {Completed: true},
}

// CanTransition reports whether an intent may change from one state to another.
func CanTransition(from, to State) bool { return transitions[from][to] }

// Key is a client's operation key within its tenant. It excludes the service: a route
// may move between two attempts, and the operation must still execute only once.
type Key struct {
	Tenant string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
}

// Attempt is the unique identifier of one attempt by one proxy.
type Attempt string

// RequestHash identifies the content of a request.
type RequestHash [16]byte

// HashRequest hashes the method, the path with its query, and the body.
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

// Response is the recorded final response of an operation.
type Response struct {
	Status      int    `cbor:"1,keyasint"`
	Seal        string `cbor:"2,keyasint,omitempty"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty"`
}

// Intent is the record of one operation key. It is never changed in place.
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
	ExpiryPolicy  ExpiryPolicy `cbor:"11,keyasint,omitempty"`
	Response      *Response    `cbor:"12,keyasint,omitempty"`
}

// ExpiryPolicy selects the treatment of a key whose window ended without a known
// outcome.
type ExpiryPolicy uint8

// HoldUnresolved keeps reporting the operation as in progress until the retention of
// its record ends: expiry does not show whether the operation was executed.
const HoldUnresolved ExpiryPolicy = 0

// Transition returns the intent in the given state, or an error if the change is not
// allowed.
func (i Intent) Transition(to State) (Intent, error) {
	if !CanTransition(i.State, to) {
		return i, errors.NotValidf("transition from %s to %s", i.State, to)
	}
	i.State = to
	return i, nil
}

// sizeBytes estimates the memory that the intent takes.
func (i *Intent) size() int {
	size := 400 + len(i.Key.Key) + len(i.Key.Tenant)
	if i.Response != nil {
		size += len(i.Response.Body)
	}
	return size
}

func (i *Intent) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(i.CreatedMs))
}
