package control

import (
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
