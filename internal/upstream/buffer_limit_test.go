package upstream_test

import (
	"fmt"
	"math"
	"testing"

	"ploverhitch/internal/upstream"
)

// Guards against a response without a length that reaches the client as an empty success, and leaves its body on the
// connection, because the limit of its buffer is the largest number.
func TestResponseInChunksIsReadWholeWhateverTheBufferLimit(t *testing.T) {
	for _, limit := range []int64{1 << 20, math.MaxInt64 - 1, math.MaxInt64} {
		s := newScriptedServer(t, func(e exchange) bool {
			_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", e.id)
			return true
		})
		for _, id := range []string{"one", "two"} {
			response, err := s.send(id, "POST", func(delivery *upstream.Delivery) { delivery.BufferLimit = limit })
			if err != nil || string(response.Body) != "body" || response.Remainder != nil || response.Length != 4 {
				t.Fatalf("limit %d, %s: got %+v, %v", limit, id, response, err)
			}
		}
		if count := s.connections.Load(); count != 1 {
			t.Fatalf("limit %d: %d connections for two requests", limit, count)
		}
	}
}
