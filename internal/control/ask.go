package control

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

func (n *node) line(address string) *rpc.Line {
	n.lock.Lock()
	defer n.lock.Unlock()
	line := n.lines[address]
	if line == nil {
		line = rpc.NewLine(address, connectSpan, silenceSpan)
		n.lines[address] = line
	}
	return line
}

// ask makes a call to a member, which may be this node itself.
func (n *node) ask(member string, kind rpc.Kind, in, out any, wait time.Duration) error {
	if member != n.self {
		return n.line(member).Ask(kind, in, out, wait)
	}
	return n.askSelf(kind, in, out, wait)
}

// askSelf hands a call to this node's own handler. As on a line, the reply is
// written while the handler gives it, since its tables change afterwards; one reply
// counts, and nobody waits for a late or a further one.
func (n *node) askSelf(kind rpc.Kind, in, out any, wait time.Duration) error {
	handle, isKnown := n.calls[kind]
	if !isKnown {
		return errors.NotImplementedf("call of kind %d", kind)
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	got := make(chan []byte, 1)
	handle(rpc.Call{Body: body, Reply: func(reply any) bool {
		text, err := cbor.Marshal(reply)
		if err != nil {
			return false
		}
		select {
		case got <- text:
			return true
		default:
			return false
		}
	}})
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case text := <-got:
		if out == nil {
			return nil
		}
		return rpc.Unpack(text, out)
	case <-alarm.C:
		return errors.Timeoutf("call to self")
	}
}

// askAll asks every member at once and gives the replies in the order in which
// they come, until enough says so or the span ends.
func askAll[T any](n *node, members []string, kind rpc.Kind, in any, wait time.Duration, isEnough func(member string, reply T) bool) {
	type one struct {
		member string
		reply  T
		err    error
	}
	got := make(chan one, len(members))
	for _, member := range members {
		go func() {
			o := one{member: member}
			o.err = n.ask(member, kind, in, &o.reply, wait)
			got <- o
		}()
	}
	for range members {
		if o := <-got; o.err == nil && isEnough(o.member, o.reply) {
			return
		}
	}
}

// isDone asks every member and tells whether a majority of the view says that it
// is done.
func (n *node) isDone(view membership.View, kind rpc.Kind, in any, wait time.Duration) bool {
	count := 0
	askAll(n, view.Members, kind, in, wait, func(_ string, done messages.Done) bool {
		if done.OK {
			count++
		}
		return count >= view.Majority()
	})
	return count >= view.Majority()
}

// holder is who holds the duty, as far as this node knows.
func (n *node) holder() (holder string) {
	n.store.read(func(t *tables) { holder = t.term.Holder })
	return holder
}

// order brings an operator's order to the holder of the duty, wherever it came
// in.
func (n *node) order(kind rpc.Kind, order any) error {
	holder := n.holder()
	var done messages.Ordered
	if holder == "" || n.ask(holder, kind, order, &done, orderSpan) != nil {
		return apierror.New(apierror.Gone, "the holder of the duty")
	}
	return orderError(done)
}
