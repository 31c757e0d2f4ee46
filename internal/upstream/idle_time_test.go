package upstream_test

import (
	"fmt"
	"testing"
)

// Guards against a connection that is never used again because the idle time that its server announces overflows.
func TestLongAnnouncedIdleTimeKeepsConnectionReusable(t *testing.T) {
	for _, seconds := range []string{"5", "9223372037", "18446744075", "9223372036854775807", "99999999999999999999"} {
		s := newScriptedServer(t, func(e exchange) bool {
			_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nPloverhitch-Attempt-Id: %s\r\nPloverhitch-Server-Seal: s\r\nKeep-Alive: timeout=%s\r\nContent-Length: 0\r\n\r\n", e.id, seconds)
			return true
		})
		for number := range 3 {
			if _, err := s.send(fmt.Sprint("try-", number), "GET", nil); err != nil {
				t.Fatal(err)
			}
		}
		if count := s.connections.Load(); count != 1 {
			t.Errorf("timeout=%s: %d connections for three requests", seconds, count)
		}
	}
}
