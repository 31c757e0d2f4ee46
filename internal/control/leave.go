package control

import (
	"sync"
	"time"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
)

const (
	// leaveSpan is how long a member that is told to end waits for the others to
	// copy what they lack of it.
	leaveSpan = 1500 * time.Millisecond
	// handOverLongest is how long one of them may take.
	handOverLongest = time.Second
)

// leave is what a member does before it ends in order, once it has given the duty
// away: it has the others copy the outcomes that they lack, so that it is the only
// holder of none. Whether it comes back, nobody tells it.
func (n *node) leave() {
	view := n.view()
	if !view.Has(n.self) {
		return
	}
	var all sync.WaitGroup
	for _, member := range view.Others(n.self) {
		all.Go(func() {
			var done messages.Done
			err := n.connection(member).Ask(messages.KindLeave, messages.Leave{Epoch: view.Epoch, Address: n.self}, &done, handOverLongest)
			if err != nil || !done.OK {
				n.log("info", "leaving, and a member has not copied what it lacks", "member", member, "error", err)
			}
		})
	}
	ended := make(chan struct{})
	go func() { all.Wait(); close(ended) }()
	alarm := time.NewTimer(leaveSpan)
	defer alarm.Stop()
	select {
	case <-ended:
	case <-alarm.C:
	}
}

// onLeave copies what this member lacks of one that is about to end.
func (n *node) onLeave(in messages.Leave, answer func(messages.Done)) {
	go func() {
		_, err := n.copyIntents(in.Address, in.Epoch, copyMode{scope: idempotency.CompletedIntents})
		answer(messages.Done{OK: err == nil})
	}()
}
