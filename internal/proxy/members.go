package proxy

import (
	"sync"

	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
)

// memberReply is one member's reply to a call. reply is nil if the call failed.
type memberReply[T any] struct {
	member string
	reply  *T
}

// callFunc makes one call over a connection: (*rpc.Client).Send or SendRevocable.
type callFunc = func(client *rpc.Client, kind rpc.Kind, body any, take func([]byte, error)) (cancel func())

// callMembers calls all members of the view concurrently and delivers one reply for
// each. The caller must call cancel once it needs no more replies; a call that has
// not been sent by then is never sent.
func callMembers[T any](p *proxy, view membership.View, kind rpc.Kind, body any) (replies <-chan memberReply[T], cancel func()) {
	return fanOut[T](p, view, (*rpc.Client).SendRevocable, kind, body)
}

// notifyMembers is like callMembers, but cancel does not revoke unsent calls: every
// member is to get the message, whether the caller waits for the reply or not.
func notifyMembers[T any](p *proxy, view membership.View, kind rpc.Kind, body any) (replies <-chan memberReply[T], cancel func()) {
	return fanOut[T](p, view, (*rpc.Client).Send, kind, body)
}

// fanOut makes the call to all members of the view through the given function.
func fanOut[T any](p *proxy, view membership.View, call callFunc, kind rpc.Kind, body any) (replies <-chan memberReply[T], cancel func()) {
	received := make(chan memberReply[T], len(view.Members))
	cancels := make([]func(), 0, len(view.Members))
	for _, member := range view.Members {
		// A duplicate reply, or a connection failure after the reply, must not be
		// counted as the vote of another member.
		var first sync.Once
		cancels = append(cancels, call(p.connection(member), kind, body, func(encoded []byte, err error) {
			answer := memberReply[T]{member: member}
			if err == nil {
				answer.reply = decodeReply[T](p, member, kind, encoded)
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

// decodeReply decodes a member's reply. One that cannot be decoded is counted and logged, and
// counts as no reply.
func decodeReply[T any](p *proxy, member string, kind rpc.Kind, encoded []byte) *T {
	out := new(T)
	if err := rpc.Decode(encoded, out); err != nil {
		p.log("error", "a reply of a control node cannot be decoded", "node", member, "kind", kind, "bytes", len(encoded), "count", p.undecodableReplies.Add(1), "error", err)
		return nil
	}
	return out
}
