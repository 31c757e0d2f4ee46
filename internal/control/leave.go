package control

import (
	"sync"
	"time"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
)

const (
	// leaveTimeout is how long a member that shuts down waits for the others to copy the
	// outcomes that they lack.
	leaveTimeout = 1500 * time.Millisecond
	// leaveCallTimeout is the timeout of the call to one member.
	leaveCallTimeout = time.Second
)

// leave runs on an orderly shutdown, after the node has given up leadership. It makes the
// other members copy the outcomes that they lack, so that no outcome is stored only here: a
// node that shuts down cannot know whether it will be started again.
func (n *node) leave() {
	view := n.view()
	if !view.Contains(n.self) {
		return
	}
	var calls sync.WaitGroup
	for _, member := range view.Others(n.self) {
		calls.Go(func() {
			var reply messages.Ack
			err := n.connection(member).Call(messages.KindLeave, messages.Leave{Epoch: view.Epoch, Address: n.self}, &reply, leaveCallTimeout)
			if err != nil || !reply.OK {
				n.log("info", "shutting down; a member has not copied the missing outcomes", "member", member, "error", err)
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

// onLeave copies the outcomes that this node lacks from a member that shuts down.
func (n *node) onLeave(in messages.Leave, reply func(messages.Ack)) {
	go func() {
		_, err := n.copyIntents(in.Address, in.Epoch, copyMode{scope: idempotency.CompletedIntents})
		reply(messages.Ack{OK: err == nil})
	}()
}
