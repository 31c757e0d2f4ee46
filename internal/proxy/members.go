package proxy

import (
	"sync"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
)

// said is one member's reply to a call, or nil if it could not be asked.
type memberReply[T any] struct {
	member string
	reply  *T
}

// sender makes one call over a line, as Send and SendRevocable do.
type callFunc = func(line *rpc.Line, kind rpc.Kind, body any, take func([]byte, error)) (cancel func())

// askMembers makes a call to every member of the view at once. Each member's
// reply comes once; forget must be called when no more are wanted, and a call that
// was not sent by then never is.
func callMembers[T any](p *proxy, view membership.View, kind rpc.Kind, body any) (replies <-chan memberReply[T], cancel func()) {
	return fanOut[T](p, view, (*rpc.Line).SendRevocable, kind, body)
}

// tellMembers is askMembers for what every member is to have, whether its reply is
// waited for or not.
func notifyMembers[T any](p *proxy, view membership.View, kind rpc.Kind, body any) (replies <-chan memberReply[T], cancel func()) {
	return fanOut[T](p, view, (*rpc.Line).Send, kind, body)
}

func fanOut[T any](p *proxy, view membership.View, call callFunc, kind rpc.Kind, body any) (replies <-chan memberReply[T], cancel func()) {
	received := make(chan memberReply[T], len(view.Members))
	cancels := make([]func(), 0, len(view.Members))
	for _, member := range view.Members {
		// A surplus reply, or the cut after a reply, is no other member's vote.
		var first sync.Once
		cancels = append(cancels, call(p.line(member), kind, body, func(encoded []byte, err error) {
			answer := memberReply[T]{member: member}
			if out := new(T); err == nil && rpc.Unpack(encoded, out) == nil {
				answer.reply = out
			}
			first.Do(func() { received <- answer })
		}))
	}
	return received, func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}
