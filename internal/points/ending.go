package points

import (
	"ploverhitch/internal/coupling"
	"ploverhitch/internal/derail"
)

// late ends an inquiry whose time is up.
func (d *delivery) late() error {
	if d.one.lane.IsRepeatable() || d.flying == 0 {
		return derail.New(derail.Late, "")
	}
	open := &openEnd{kind: derail.Late, late: make(chan *coupling.Reply, 1)}
	results, flying, leave := d.results, d.flying, d.leave
	d.flying, d.leave = 0, func() {}
	go func() {
		defer leave()
		var reply *coupling.Reply
		for range flying {
			if got := <-results; got.err == nil && !got.reply.IsNotExecuted() && !isPromise(got.reply.Status) {
				reply = got.reply
			}
		}
		open.late <- reply
	}()
	return open
}

// sweep lets the tries that lost run to their end, and frees what they hold.
func (d *delivery) sweep() {
	if d.flying == 0 {
		d.leave()
		return
	}
	results, flying, leave := d.results, d.flying, d.leave
	go func() {
		defer leave()
		for range flying {
			if got := <-results; got.reply != nil {
				got.reply.Finish(false)
			}
		}
	}()
}
