// Package apierror defines the closed list of errors of client requests and operator
// calls, and the HTTP response for each.
package apierror

import "time"

// Kind is a reason why a request fails without a response from an upstream server.
type Kind uint8

// The error kinds. Their numbers are sent between processes.
const (
	None Kind = iota
	MalformedRequest
	NoRoute
	BodyTooLarge
	KeyConflict
	KeyInProgress
	ServersBusy
	NoServer
	KeyNotReserved
	NotExecuted
	ResponseInterrupted
	ResponseTimeout
	InvalidConfiguration
	ControlPlaneUnavailable
	HeaderTooLarge
	TooManyIntents
	NotFound
	OrderInProgress
	InvalidOrder
	LoadShed
	ShadowForbidden
	// VersionConflict means that this version of an item was already accepted with
	// different content.
	VersionConflict
	// RequestTimeout means that the request did not arrive completely in time.
	RequestTimeout
)

// Response is the HTTP response for an error kind.
type Response struct {
	Status int
	Reason string
	// NotExecuted guarantees the client that the request was not executed and never
	// will be. Only a kind for which this is certain may set it.
	NotExecuted bool
	// RetryAfter is the suggested retry delay; zero means none.
	RetryAfter time.Duration
	// Close closes the client's connection after the response.
	Close bool
}

var responses = map[Kind]Response{
	RequestTimeout:          {Status: 408, Reason: "the request did not arrive completely in time", NotExecuted: true, Close: true},
	MalformedRequest:        {Status: 400, Reason: "the request is malformed", Close: true},
	NoRoute:                 {Status: 404, Reason: "no route matches"},
	BodyTooLarge:            {Status: 413, Reason: "the body is too large", Close: true},
	KeyConflict:             {Status: 422, Reason: "the idempotency key was used with a different request"},
	KeyInProgress:           {Status: 409, Reason: "a request with this idempotency key is in progress", RetryAfter: 100 * time.Millisecond},
	ServersBusy:             {Status: 503, Reason: "all servers are at capacity", NotExecuted: true, RetryAfter: 50 * time.Millisecond},
	NoServer:                {Status: 503, Reason: "no server is ready", NotExecuted: true, RetryAfter: 100 * time.Millisecond},
	KeyNotReserved:          {Status: 503, Reason: "the idempotency key cannot be reserved at present", NotExecuted: true, RetryAfter: 400 * time.Millisecond},
	NotExecuted:             {Status: 503, Reason: "no server accepted the request", NotExecuted: true, RetryAfter: 50 * time.Millisecond},
	ResponseInterrupted:     {Status: 502, Reason: "the server's response was interrupted; the request may have been executed"},
	ResponseTimeout:         {Status: 504, Reason: "the server did not respond in time; the request may have been executed"},
	HeaderTooLarge:          {Status: 431, Reason: "the headers are too large", Close: true},
	TooManyIntents:          {Status: 429, Reason: "the route has too many open intents", NotExecuted: true, RetryAfter: 200 * time.Millisecond},
	InvalidConfiguration:    {Status: 400, Reason: "the configuration is invalid"},
	NotFound:                {Status: 404, Reason: "not found"},
	OrderInProgress:         {Status: 409, Reason: "another operator order is in progress"},
	InvalidOrder:            {Status: 400, Reason: "the operator order is invalid"},
	LoadShed:                {Status: 503, Reason: "the service is overloaded and rejects requests of this tier", NotExecuted: true, RetryAfter: 500 * time.Millisecond},
	ShadowForbidden:         {Status: 403, Reason: "a request of a shadow must not reach a live service"},
	VersionConflict:         {Status: 409, Reason: "this version of an item exists with different content"},
	ControlPlaneUnavailable: {Status: 503, Reason: "no majority of the control plane is reachable", NotExecuted: true, RetryAfter: 200 * time.Millisecond},
}

// ResponseFor returns the HTTP response for a kind.
func ResponseFor(kind Kind) Response { return responses[kind] }

// Error is an error of a kind, with details.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter, if set, overrides the retry delay of the kind's response.
	RetryAfter time.Duration
}

// Error returns the reason and, if there is one, the detail.
func (e *Error) Error() string {
	reason := responses[e.Kind].Reason
	if e.Detail == "" {
		return reason
	}
	return reason + ": " + e.Detail
}

// New returns an error of the given kind.
func New(kind Kind, detail string) error { return &Error{Kind: kind, Detail: detail} }
