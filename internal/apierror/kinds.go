// Package apierror is the closed list of what can go wrong with an inquiry or an
// operator's call, and the table that says how each kind is answered.
package apierror

import "time"

// Kind is one way in which an inquiry can end without a server's reply.
type Kind uint8

// The closed list of kinds.
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
	InvalidManifest
	ControlPlaneUnavailable
	HeaderTooLarge
	TooManyIntents
	NotFound
	OrderInProgress
	InvalidOrder
	LoadShed
	ShadowForbidden
	// VersionTaken says that an item's version was accepted with another content.
	VersionConflict
)

// Answer is how a kind is told to the caller.
type Response struct {
	Status int
	Reason string
	// Promise says that the status promises that the inquiry has not run and
	// never will; only a kind whose inquiry surely did not run may carry it.
	NotExecuted bool
	// RetryAfter is when to come back; zero says nothing.
	RetryAfter time.Duration
	// Close asks for the client's connection to be closed.
	Close bool
}

var responses = map[Kind]Response{
	MalformedRequest:        {Status: 400, Reason: "the inquiry is malformed", Close: true},
	NoRoute:                 {Status: 404, Reason: "no lane leads there"},
	BodyTooLarge:            {Status: 413, Reason: "the body is too large", Close: true},
	KeyConflict:             {Status: 422, Reason: "the key was used with a different inquiry"},
	KeyInProgress:           {Status: 409, Reason: "the key is in work", RetryAfter: 100 * time.Millisecond},
	ServersBusy:             {Status: 503, Reason: "the servers are full", NotExecuted: true, RetryAfter: 50 * time.Millisecond},
	NoServer:                {Status: 503, Reason: "no server is ready", NotExecuted: true, RetryAfter: 100 * time.Millisecond},
	KeyNotReserved:          {Status: 503, Reason: "the key cannot be secured now", NotExecuted: true, RetryAfter: 400 * time.Millisecond},
	NotExecuted:             {Status: 503, Reason: "no server took the inquiry", NotExecuted: true, RetryAfter: 50 * time.Millisecond},
	ResponseInterrupted:     {Status: 502, Reason: "the server's reply broke off; it may have run"},
	ResponseTimeout:         {Status: 504, Reason: "the server's reply is late; it may have run"},
	HeaderTooLarge:          {Status: 431, Reason: "the headers are too large", Close: true},
	TooManyIntents:          {Status: 429, Reason: "the lane has too many open intents", NotExecuted: true, RetryAfter: 200 * time.Millisecond},
	InvalidManifest:         {Status: 400, Reason: "the manifest is invalid"},
	NotFound:                {Status: 404, Reason: "nobody knows of that"},
	OrderInProgress:         {Status: 409, Reason: "another order is under way"},
	InvalidOrder:            {Status: 400, Reason: "the order is invalid"},
	LoadShed:                {Status: 503, Reason: "the service is overloaded; inquiries of this tier wait", NotExecuted: true, RetryAfter: 500 * time.Millisecond},
	ShadowForbidden:         {Status: 403, Reason: "an inquiry of a shadow reaches no live service"},
	VersionConflict:         {Status: 409, Reason: "the version of an item has another content"},
	ControlPlaneUnavailable: {Status: 503, Reason: "no majority of the core can be reached", NotExecuted: true, RetryAfter: 200 * time.Millisecond},
}

// AnswerOf looks the answer of a kind up in the table.
//
// Example:
//
//	apierror.AnswerOf(apierror.NoLane).Status // 404
func ResponseFor(kind Kind) Response { return responses[kind] }

// Error is a derailment with what is known of it.
type Error struct {
	Kind   Kind
	Detail string
	// After is when to come back, where that is not what the table says.
	RetryAfter time.Duration
}

// Error tells the reason and the detail.
//
// Example:
//
//	log(err.Error()) // "no lane leads there"
func (e *Error) Error() string {
	reason := responses[e.Kind].Reason
	if e.Detail == "" {
		return reason
	}
	return reason + ": " + e.Detail
}

// New makes an error of a kind.
//
// Example:
//
//	return apierror.New(apierror.BadManifest, "lane x names no service")
func New(kind Kind, detail string) error { return &Error{Kind: kind, Detail: detail} }
