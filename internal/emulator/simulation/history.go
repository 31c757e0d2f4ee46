package simulation

import (
	"math"

	"ploverhitch/internal/config"
)

// orderInput is an operator's order, readInput a reading of the configuration.
type (
	orderInput struct{ items []config.Item }
	readInput  struct{}
)

// keyInput is one attempt for a key; keyAnswer names the attempt whose reply
// the client got.
type (
	keyInput  struct{ key, attempt string }
	keyAnswer struct{ attempt string }
)

// operation is one call of a client. One that was never answered may have taken
// effect at any later moment, or never.
type operation struct {
	client     int
	call       Time
	answered   Time
	isAnswered bool
	isDropped  bool
	input      any
	output     any
}

// history is all operations of a run.
type history struct {
	operations []operation
	// isUndetermined says that the check of the history took too long.
	isUndetermined bool
}

func (h *history) begin(client int, at Time, input any) int {
	h.operations = append(h.operations, operation{client: client, call: at, input: input})
	return len(h.operations) - 1
}

func (h *history) end(number int, at Time, output any) {
	o := &h.operations[number]
	o.answered, o.isAnswered, o.output = at, true, output
}

// drop takes out an operation that certainly has no effect.
func (h *history) drop(number int) { h.operations[number].isDropped = true }

// returned is the moment of the answer, or the end of time.
func (o *operation) returned() int64 {
	if !o.isAnswered {
		return math.MaxInt64
	}
	return int64(o.answered)
}

// hasFinalReads tells whether every operator's last reading was answered.
func (h *history) hasFinalReads() bool {
	count := 0
	for _, o := range h.operations {
		_, isRead := o.input.(readInput)
		if isRead && o.isAnswered && o.answered > lastReading {
			count++
		}
	}
	return count == operatorCount
}

// latencies are the times from the first sending of an order to its
// acknowledgement.
func (h *history) latencies() (out []Time) {
	for _, o := range h.operations {
		if verdict, isOrder := o.output.(Verdict); isOrder && verdict == Acknowledged {
			out = append(out, o.answered-o.call)
		}
	}
	return out
}
