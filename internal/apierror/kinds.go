// Package apierror is the closed list of what can go wrong with an inquiry or an
// operator's call, and the table that says how each kind is answered.
package apierror

import "time"

// Kind is one way in which an inquiry can end without a server's reply.
type Kind uint8

// The closed list of kinds.
const (
	None Kind = iota
	BadInquiry
	NoLane
	TooLarge
	Conflict
	AtWork
	Busy
	NoServer
	NoQuorum
	NotExecuted
	Broken
	Late
	BadManifest
	Gone
	HeaderTooLarge
	OverLimit
	UnknownSubject
	OtherOrder
	BadOrder
	Shed
	Shadowed
	// VersionTaken says that an item's version was accepted with another content.
	VersionTaken
)

// Answer is how a kind is told to the caller.
type Answer struct {
	Status int
	Reason string
	// Promise says that the status promises that the inquiry has not run and
	// never will; only a kind whose inquiry surely did not run may carry it.
	Promise bool
	// RetryAfter is when to come back; zero says nothing.
	RetryAfter time.Duration
	// Close asks for the client's connection to be closed.
	Close bool
}

var answers = map[Kind]Answer{
	BadInquiry:     {Status: 400, Reason: "the inquiry is malformed", Close: true},
	NoLane:         {Status: 404, Reason: "no lane leads there"},
	TooLarge:       {Status: 413, Reason: "the body is too large", Close: true},
	Conflict:       {Status: 422, Reason: "the key was used with a different inquiry"},
	AtWork:         {Status: 409, Reason: "the key is in work", RetryAfter: 100 * time.Millisecond},
	Busy:           {Status: 503, Reason: "the servers are full", Promise: true, RetryAfter: 50 * time.Millisecond},
	NoServer:       {Status: 503, Reason: "no server is ready", Promise: true, RetryAfter: 100 * time.Millisecond},
	NoQuorum:       {Status: 503, Reason: "the key cannot be secured now", Promise: true, RetryAfter: 400 * time.Millisecond},
	NotExecuted:    {Status: 503, Reason: "no server took the inquiry", Promise: true, RetryAfter: 50 * time.Millisecond},
	Broken:         {Status: 502, Reason: "the server's reply broke off; it may have run"},
	Late:           {Status: 504, Reason: "the server's reply is late; it may have run"},
	HeaderTooLarge: {Status: 431, Reason: "the headers are too large", Close: true},
	OverLimit:      {Status: 429, Reason: "the lane has too many open intents", Promise: true, RetryAfter: 200 * time.Millisecond},
	BadManifest:    {Status: 400, Reason: "the manifest is invalid"},
	UnknownSubject: {Status: 404, Reason: "nobody knows of that"},
	OtherOrder:     {Status: 409, Reason: "another order is under way"},
	BadOrder:       {Status: 400, Reason: "the order is invalid"},
	Shed:           {Status: 503, Reason: "the service is overloaded; inquiries of this tier wait", Promise: true, RetryAfter: 500 * time.Millisecond},
	Shadowed:       {Status: 403, Reason: "an inquiry of a shadow reaches no live service"},
	VersionTaken:   {Status: 409, Reason: "the version of an item has another content"},
	Gone:           {Status: 503, Reason: "no majority of the core can be reached", Promise: true, RetryAfter: 200 * time.Millisecond},
}

// AnswerOf looks the answer of a kind up in the table.
//
// Example:
//
//	apierror.AnswerOf(apierror.NoLane).Status // 404
func AnswerOf(kind Kind) Answer { return answers[kind] }

// Error is a derailment with what is known of it.
type Error struct {
	Kind   Kind
	Detail string
	// After is when to come back, where that is not what the table says.
	After time.Duration
}

// Error tells the reason and the detail.
//
// Example:
//
//	log(err.Error()) // "no lane leads there"
func (e *Error) Error() string {
	reason := answers[e.Kind].Reason
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
