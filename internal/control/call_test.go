package control

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

func nodeWithHandler(handle func(rpc.Call)) *node {
	return &node{self: "self", callHandlers: rpc.Handlers{messages.KindView: handle}}
}

func TestSelfCallCopiesReply(t *testing.T) {
	table := map[string]int{"a": 1}
	n := nodeWithHandler(func(call rpc.Call) {
		call.Reply(table)
		// The handler modifies its data after replying.
		table["a"] = 2
	})
	var reply map[string]int
	if err := n.call("self", messages.KindView, nil, &reply, time.Second); err != nil || reply["a"] != 1 {
		t.Fatalf("got %v, %v", reply, err)
	}
}

func TestSelfCallIgnoresExtraAndLateReplies(t *testing.T) {
	var saved rpc.Call
	n := nodeWithHandler(func(call rpc.Call) {
		for number := range 3 {
			call.Reply(number)
		}
		saved = call
	})
	done := make(chan error, 1)
	reply := -1
	go func() { done <- n.call("self", messages.KindView, nil, &reply, time.Second) }()
	select {
	case err := <-done:
		if err != nil || reply != 0 {
			t.Fatalf("got %d, %v", reply, err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the handler is blocked on its second reply")
	}
	if saved.Reply(9) && reply != 0 {
		t.Fatal("a late reply changed the result")
	}
}

func TestSelfCallWithoutReplyTimesOut(t *testing.T) {
	n := nodeWithHandler(func(rpc.Call) {})
	if err := n.call("self", messages.KindView, nil, nil, 10*time.Millisecond); err == nil {
		t.Fatal("a call without a reply succeeded")
	}
	if err := n.call("self", messages.KindStartRollout, nil, nil, time.Second); err == nil {
		t.Fatal("a call of a kind without a handler succeeded")
	}
}

// Guards against a call that is dropped in silence because its body cannot be decoded, so that its caller waits for the whole
// timeout and nobody logs why (review/6).
func TestUndecodableCallIsRejectedLoggedAndCounted(t *testing.T) {
	const timeout = 5 * time.Second
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	logged := make(chan []any, 4)
	n := &node{self: "self", connections: map[string]*rpc.Client{}, log: func(_, _ string, pairs ...any) { logged <- pairs }}
	n.callHandlers = rpc.Handlers{messages.KindLookup: typedHandler(n, func(messages.Lookup, func(messages.LookupResponse)) {
		t.Error("the handler was called")
	})}
	go rpc.Serve(listener, n.callHandlers, timeout)
	for _, member := range []string{"self", listener.Addr().String()} {
		started := time.Now()
		var rejected *rpc.RejectedError
		err := n.call(member, messages.KindLookup, "no lookup", nil, timeout)
		if !errors.As(err, &rejected) || rejected.Kind != messages.KindLookup || rejected.Rejection != rpc.Undecodable || rejected.Bytes == 0 {
			t.Errorf("%s: got %v", member, err)
		}
		if took := time.Since(started); took > timeout/2 {
			t.Errorf("%s: the error took %v", member, took)
		}
		if pairs := fmt.Sprint(<-logged); !strings.Contains(pairs, "kind "+fmt.Sprint(messages.KindLookup)) || !strings.Contains(pairs, "bytes") {
			t.Errorf("%s: logged %s", member, pairs)
		}
	}
	if pairs := fmt.Sprint(<-logged); !strings.Contains(pairs, listener.Addr().String()) {
		t.Errorf("the caller logged %s", pairs)
	}
	if n.undecodableCalls.Load() != 2 || n.rejectedCalls.Load() != 1 {
		t.Errorf("counted %d undecodable and %d rejected calls", n.undecodableCalls.Load(), n.rejectedCalls.Load())
	}
}
