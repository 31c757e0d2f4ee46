package feed

import "sync"

// reached is the place up to which a feed was taken. Only the subscription that is
// under way moves it: what an earlier one brings late says nothing of the next.
type reached struct {
	Follow
	lock    sync.Mutex
	number  uint64
	isEnded bool
}

// begin is where the next subscription starts, and its number.
func (r *reached) begin() (from Follow, number uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.number++
	r.isEnded = false
	return r.Follow, r.number
}

func (r *reached) isCurrent(number uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return number == r.number && !r.isEnded
}

func (r *reached) note(number uint64, news News) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if number == r.number && !r.isEnded {
		r.Life, r.Place = news.Life, news.Place
	}
}

// end makes the subscription an earlier one.
func (r *reached) end() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isEnded = true
}

// reset makes the next subscription start with a checkpoint.
func (r *reached) reset() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isEnded = true
	r.Life, r.Place = 0, 0
}
