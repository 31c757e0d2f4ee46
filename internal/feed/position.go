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
func (r *position) begin() (from FollowRequest, number uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.generation++
	r.ended = false
	return r.FollowRequest, r.generation
}

func (r *position) current(number uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return number == r.generation && !r.ended
}

func (r *position) advance(number uint64, news Update) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if number == r.generation && !r.ended {
		r.Incarnation, r.Sequence = news.Incarnation, news.Sequence
	}
}

// end makes the subscription an earlier one.
func (r *position) end() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ended = true
}

// reset makes the next subscription start with a checkpoint.
func (r *position) reset() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ended = true
	r.Incarnation, r.Sequence = 0, 0
}
