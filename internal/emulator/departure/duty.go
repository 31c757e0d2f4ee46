package departure

import "time"

// lookAtDuty moves the duty to the first member that is live and fit.
func (w *world) lookAtDuty() {
	w.After(dutyLook, w.lookAtDuty)
	first := w.firstFit()
	if first == w.holder || w.isMoving {
		return
	}
	if w.holder >= 0 {
		w.members[w.holder].isHolder = false
	}
	w.holder, w.isMoving = -1, true
	// The claim and its promises.
	w.After(w.between(100*time.Millisecond, 500*time.Millisecond), func() {
		w.isMoving = false
		if first = w.firstFit(); first >= 0 {
			w.term++
			w.holder = first
			w.members[first].takeUp(w.term)
		}
	})
}

func (w *world) firstFit() int {
	for i, m := range w.members {
		if m.isEligible() {
			return i
		}
	}
	return -1
}

// isEligible tells whether the others take the member for live and fit.
func (m *member) isEligible() bool {
	now := m.world.Now
	if m.isBeating() {
		m.beatAt = now
	}
	isLive := now-m.beatAt <= silentAfter && now >= m.deadUntil
	return isLive && now >= m.unfitUntil
}

// isBeating tells whether the member sends heartbeats, which wait for its disk.
func (m *member) isBeating() bool {
	now := m.world.Now
	return now >= m.deadUntil && now >= m.frozenUntil && now >= m.diskUntil
}

// takeUp makes the member the holder under a new term.
func (m *member) takeUp(term uint64) {
	m.isHolder, m.term = true, term
	m.last = m.board.Fleet
	if m.world.options.Guards.IsFreshList || len(m.listed) == 0 {
		m.listed = m.board.Fleet.Servers
	}
	m.turnLater(0)
}

// publishLater has the holder lay out the fleet anew again and again.
func (w *world) publishLater() {
	w.After(publishPeriod, w.publishLater)
	if w.holder >= 0 {
		w.members[w.holder].publish()
	}
}
