package points

import (
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
)

// said is one member's reply to a call, or nil if it could not be asked.
type said[T any] struct {
	member string
	reply  *T
}

// askMembers makes a call to every member of the view at once. Each member's
// reply comes once; forget must be called when no more are wanted.
func askMembers[T any](p *proxy, view membership.View, kind rpc.Kind, body any) (replies <-chan said[T], forget func()) {
	got := make(chan said[T], len(view.Members))
	forgets := make([]func(), 0, len(view.Members))
	for _, member := range view.Members {
		forgets = append(forgets, p.line(member).Send(kind, body, func(text []byte, err error) {
			one := said[T]{member: member}
			if out := new(T); err == nil && rpc.Unpack(text, out) == nil {
				one.reply = out
			}
			select {
			case got <- one:
			default:
			}
		}))
	}
	return got, func() {
		for _, forget := range forgets {
			forget()
		}
	}
}
