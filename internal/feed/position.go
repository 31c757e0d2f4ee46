package feed

import "sync"

// position is the position up to which a feed was applied. Only the current subscription
// advances it: late updates of an earlier one do not count.
type position struct {
	FollowRequest
	lock       sync.Mutex
	generation uint64
	ended      bool
}

// begin starts a subscription and returns its start position and generation.
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

// end marks the current subscription as ended.
func (p *position) end() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.ended = true
}

// reset makes the next subscription start with a snapshot.
func (p *position) reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.ended = true
	p.Incarnation, p.Sequence = 0, 0
}
