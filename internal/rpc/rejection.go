package rpc

import "fmt"

// Rejection says why a call gets no reply.
type Rejection uint8

// Undecodable means that the callee could not decode the body of the call.
const Undecodable Rejection = 1

var rejectionTexts = map[Rejection]string{Undecodable: "cannot be decoded"}

// String returns the reason as text.
func (r Rejection) String() string {
	if text, known := rejectionTexts[r]; known {
		return text
	}
	return fmt.Sprintf("rejected for the unknown reason %d", uint8(r))
}

// RejectedError reports that the callee rejected a call, which had no effect there.
type RejectedError struct {
	Kind      Kind
	Bytes     int
	Rejection Rejection
}

// Error returns a message with the kind and the size of the call.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("call of kind %d with %d bytes: %s", e.Kind, e.Bytes, e.Rejection)
}
