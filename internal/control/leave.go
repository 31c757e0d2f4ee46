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
	leaveTimeout = 1500 * time.Millisecond
	// handOverLongest is how long one of them may take.
	leaveCallTimeout = time.Second
)

// leave is what a member does before it ends in order, once it has given the duty
// away: it has the others copy the outcomes that they lack, so that it is the only
// holder of none. Whether it comes back, nobody tells it.
func (n *node) leave() {
	view := n.view()
	if !view.Has(n.self) {
		return
	}
	var calls sync.WaitGroup
	for _, member := range view.Others(n.self) {
		calls.Go(func() {
			var reply messages.Done
			err := n.line(member).Ask(messages.KindLeave, messages.Leave{Epoch: view.Epoch, Address: n.self}, &reply, leaveCallTimeout)
			if err != nil || !reply.OK {
				n.note("info", "leaving, and a member has not copied what it lacks", "member", member, "error", err)
			}
		})
	}
	done := make(chan struct{})
	go func() { calls.Wait(); close(done) }()
	timer := time.NewTimer(leaveTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// onLeave copies what this member lacks of one that is about to end.
func (n *node) onLeave(in messages.Leave, answer func(messages.Done)) {
	go func() {
		_, err := n.copyIntents(in.Address, in.Epoch, copyMode{scope: idempotency.Outcomes})
		answer(messages.Done{OK: err == nil})
	}()
}
