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
func (c *Client) Call(kind Kind, body, out any, timeout time.Duration) error {
	type result struct {
		body []byte
		err  error
	}
	results := make(chan result, 1)
	revoke := c.SendRevocable(kind, body, func(body []byte, err error) {
		select {
		case results <- result{body, err}:
		default:
		}
	})
	defer revoke()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-results:
		if r.err != nil || out == nil {
			return r.err
		}
		return Decode(r.body, out)
	case <-timer.C:
		return errors.Timeoutf("call to %s", c.Address)
	}
}
