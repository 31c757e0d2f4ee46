package feed

import "sync"

// reached is the place up to which a feed was taken. Only the subscription that is
// under way moves it: what an earlier one brings late says nothing of the next.
type position struct {
	FollowRequest
	lock       sync.Mutex
	generation uint64
	ended      bool
}

// begin is where the next subscription starts, and its number.
func (p *position) begin() (from FollowRequest, generation uint64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.generation++
	p.ended = false
	return p.FollowRequest, p.generation
}

func (p *position) current(generation uint64) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return generation == p.generation && !p.ended
}

func (p *position) advance(generation uint64, update Update) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if generation == p.generation && !p.ended {
		p.Incarnation, p.Sequence = update.Incarnation, update.Sequence
	}
}

// end makes the subscription an earlier one.
func (p *position) end() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.ended = true
}

// reset makes the next subscription start with a checkpoint.
func (p *position) reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.ended = true
	p.Incarnation, p.Sequence = 0, 0
}
