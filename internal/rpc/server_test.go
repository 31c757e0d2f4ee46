package rpc

import (
	"bufio"
	"encoding/binary"
	"net"
	"testing"
	"time"
)

// dialServer starts a server and connects to it; the test reads and writes single frames.
func dialServer(t *testing.T, handlers Handlers) *peer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go Serve(listener, handlers, time.Second)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &peer{conn, bufio.NewReader(conn)}
}

func TestServerClosesAConnectionOnAnInvalidOrUnknownFrame(t *testing.T) {
	noFrame := binary.BigEndian.AppendUint32(nil, 3)
	unknown := encodedFrame(t, 2, kindTest+1, "of a kind without a handler")
	for name, bad := range map[string][]byte{"no frame": append(noFrame, 0xff, 0xff, 0xff), "unknown kind": unknown} {
		calls := make(chan Call, 4)
		client := dialServer(t, Handlers{kindTest: func(call Call) { calls <- call }})
		if _, err := client.conn.Write(append(encodedFrame(t, 1, kindTest, "one"), bad...)); err != nil {
			t.Fatal(err)
		}
		// Frames after the invalid one must not be handled.
		_, _ = client.conn.Write(encodedFrame(t, 3, kindTest, "after the invalid frame"))
		heldCall := <-calls
		select {
		case <-heldCall.Closed:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the connection was not closed", name)
		}
		if heldCall.Reply("too late") {
			t.Errorf("%s: a closed connection accepted a reply", name)
		}
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%s: the server sent bytes on a closed connection", name)
		}
		if len(calls) > 0 {
			t.Errorf("%s: a call after the invalid frame was handled", name)
		}
	}
}
