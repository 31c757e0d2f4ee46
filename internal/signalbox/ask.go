package signalbox

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/signal"
)

func (b *box) line(address string) *signal.Line {
	b.lock.Lock()
	defer b.lock.Unlock()
	line := b.lines[address]
	if line == nil {
		line = signal.NewLine(address, connectSpan, silenceSpan)
		b.lines[address] = line
	}
	return line
}

// ask makes a call to a member, which may be this node itself.
func (b *box) ask(member string, kind signal.Kind, in, out any, wait time.Duration) error {
	if member != b.self {
		return b.line(member).Ask(kind, in, out, wait)
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	got := make(chan any, 1)
	b.calls[kind](signal.Call{Body: body, Reply: func(reply any) bool { got <- reply; return true }})
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case reply := <-got:
		text, err := cbor.Marshal(reply)
		if err != nil {
			return errors.Trace(err)
		}
		return signal.Unpack(text, out)
	case <-alarm.C:
		return errors.Timeoutf("call to self")
	}
}

// askAll asks every member at once and gives the replies in the order in which
// they come, until enough says so or the span ends.
func askAll[T any](b *box, members []string, kind signal.Kind, in any, wait time.Duration, isEnough func(member string, reply T) bool) {
	type one struct {
		member string
		reply  T
		err    error
	}
	got := make(chan one, len(members))
	for _, member := range members {
		go func() {
			o := one{member: member}
			o.err = b.ask(member, kind, in, &o.reply, wait)
			got <- o
		}()
	}
	for range members {
		if o := <-got; o.err == nil && isEnough(o.member, o.reply) {
			return
		}
	}
}
