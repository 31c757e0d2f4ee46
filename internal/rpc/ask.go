package rpc

import (
	"time"

	"github.com/juju/errors"
)

// Ask makes a call and waits for its one reply, at most the given span. If it has
// not been sent by then, it never is.
//
// Example:
//
//	err := line.Ask(KindView, nil, &view, time.Second)
func (l *Line) Ask(kind Kind, body, out any, wait time.Duration) error {
	type result struct {
		body []byte
		err  error
	}
	got := make(chan result, 1)
	revoke := l.SendRevocable(kind, body, func(body []byte, err error) {
		select {
		case got <- result{body, err}:
		default:
		}
	})
	defer revoke()
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case r := <-got:
		if r.err != nil || out == nil {
			return r.err
		}
		return Unpack(r.body, out)
	case <-alarm.C:
		return errors.Timeoutf("call to %s", l.Address)
	}
}
