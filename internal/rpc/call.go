package rpc

import (
	"time"

	"github.com/juju/errors"
)

// Call makes a call with a single reply and waits for it until the timeout. A call that
// has not been sent by then is never sent.
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
