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
func (b *box) leave() {
	view := b.view()
	if !view.Has(b.self) {
		return
	}
	var all sync.WaitGroup
	for _, member := range view.Others(b.self) {
		all.Go(func() {
			var done messages.Done
			err := b.line(member).Ask(messages.KindLeave, messages.Leave{Epoch: view.Epoch, Address: b.self}, &done, handOverLongest)
			if err != nil || !done.OK {
				b.note("info", "leaving, and a member has not copied what it lacks", "member", member, "error", err)
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
func (b *box) onLeave(in messages.Leave, answer func(messages.Done)) {
	go func() {
		_, err := b.copyIntents(in.Address, in.Epoch, copyMode{scope: idempotency.Outcomes})
		answer(messages.Done{OK: err == nil})
	}()
}
