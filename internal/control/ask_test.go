package control

import (
	"testing"
	"time"

	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

func asking(handle func(rpc.Call)) *node {
	return &node{self: "self", calls: rpc.Handlers{messages.KindView: handle}}
}

func TestCallToSelfTakesTheReplyAsItWasGiven(t *testing.T) {
	table := map[string]int{"a": 1}
	b := asking(func(call rpc.Call) {
		call.Reply(table)
		// The owner goes on changing its table.
		table["a"] = 2
	})
	var got map[string]int
	if err := b.ask("self", messages.KindView, nil, &got, time.Second); err != nil || got["a"] != 1 {
		t.Fatalf("got %v, %v", got, err)
	}
}

func TestFurtherAndLateRepliesToSelfHoldNobodyUp(t *testing.T) {
	var kept rpc.Call
	b := asking(func(call rpc.Call) {
		for number := range 3 {
			call.Reply(number)
		}
		kept = call
	})
	ended := make(chan error, 1)
	got := -1
	go func() { ended <- b.ask("self", messages.KindView, nil, &got, time.Second) }()
	select {
	case err := <-ended:
		if err != nil || got != 0 {
			t.Fatalf("got %d, %v", got, err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the handler stands still: nobody takes its second reply")
	}
	if kept.Reply(9) && got != 0 {
		t.Fatal("a late reply changed what was answered")
	}
}

func TestCallToSelfThatNobodyAnswersEnds(t *testing.T) {
	b := asking(func(rpc.Call) {})
	if err := b.ask("self", messages.KindView, nil, nil, 10*time.Millisecond); err == nil {
		t.Fatal("no reply was taken for one")
	}
	if err := b.ask("self", messages.KindOrder, nil, nil, time.Second); err == nil {
		t.Fatal("a call of a kind that nobody answers was answered")
	}
}
