package departure

import (
	"slices"
	"time"

	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/emulator/virtual"
	"ploverhitch/internal/feed"
)

// reading is a reading of the list under way, lane by lane.
type reading struct {
	began, first        virtual.Time
	lanes               []*lane
	active              int
	servers             []feed.Server
	calls               int
	isHolder, isResumed bool
	hasFailed           bool
}

// lane is the pages of one zone, or of all, of which the first are still to be read.
type lane struct{ pages []int }

// newLanes are the lanes of a whole reading.
func (w *world) newLanes() (out []*lane) {
	zones := 1
	if w.options.Guards.IsByZone {
		zones = max(1, w.options.Size.Zones)
	}
	for range zones {
		out = append(out, &lane{})
	}
	for page := range w.platform.pages {
		one := out[page%zones]
		one.pages = append(one.pages, page)
	}
	return out
}

// turnLater has the member look after a while whether it is to read the list. Only the
// newest of these looks counts.
func (m *member) turnLater(delay time.Duration) {
	m.turns++
	turn := m.turns
	m.later(delay, func() {
		if turn == m.turns && m.reading == nil {
			m.turn()
		}
	})
}

func (m *member) turn() {
	if !m.isHolder && !m.standsBy() {
		m.turnLater(readerLook)
		return
	}
	if rest := m.restOf(!m.isHolder); rest > 0 {
		m.turnLater(min(rest, readerLook))
		return
	}
	now := m.world.Now
	m.reading = &reading{began: now, first: now, isHolder: m.isHolder, lanes: m.world.newLanes()}
	if old := m.rest; old != nil && m.world.options.Guards.IsResumed && now-old.first < resumeSpan {
		m.reading.first, m.reading.lanes, m.reading.servers, m.reading.isResumed = old.first, old.lanes, old.servers, true
	}
	m.rest = nil
	for _, one := range m.reading.lanes {
		if len(one.pages) > 0 {
			m.reading.active++
			m.askPage(m.reading, one)
		}
	}
}

// standsBy tells whether the member is to read in the holder's stead.
func (m *member) standsBy() bool {
	w := m.world
	view, holder := w.view(), m.board.Fleet.Leader
	if w.options.Guards.IsByReadings {
		return m.watch.StandbyShare(view, holder, m.name, w.steady()) > 0
	}
	rank := listing.StandbyRank(view, holder, m.name)
	if rank < 0 || rank >= watchers {
		return false
	}
	at := slices.Index(view.Members, holder)
	silence := w.Now - w.members[at].lastBeat()
	return silence > standbyFrom && silence < standbyTo
}

// lastBeat is when the member's last heartbeat was sent.
func (m *member) lastBeat() virtual.Time {
	if m.isBeating() {
		m.beatAt = m.world.Now
	}
	return m.beatAt
}

// askPage makes the calls for the page at which a lane stands.
func (m *member) askPage(r *reading, of *lane) {
	began, number, made, failed, isDone := m.world.Now, of.pages[0], 0, 0, false
	fail := func() {
		if !isDone {
			isDone, r.hasFailed = true, true
			m.endLane(r)
		}
	}
	var ask func()
	ask = func() {
		if isDone || made == pageTries {
			return
		}
		made++
		r.calls++
		isTaken := m.world.platform.take()
		took, isAnswered := m.world.platform.latency(m)
		switch {
		case !isTaken:
			m.later(2*time.Millisecond, func() {
				if failed++; failed == pageTries {
					fail()
					return
				}
				m.later(retryPause, ask)
			})
		case isAnswered:
			// The page is as it was half of the way back.
			m.world.After(took/2, func() {
				page := slices.Clone(m.world.platform.pages[number])
				m.later(took-took/2, func() {
					if !isDone && m.world.Now-began < pageSpan {
						isDone = true
						m.gotPage(r, of, page)
					}
				})
			})
		}
		m.later(patience, ask)
	}
	begin := func() {
		began = m.world.Now
		ask()
		m.later(pageSpan, fail)
	}
	if !m.world.options.Guards.IsSpread {
		begin()
		return
	}
	m.later(m.window.Reserve(m.world.steady(), listing.Pace{Rate: m.rate(!r.isHolder)}.Burst()), begin)
}

func (m *member) gotPage(r *reading, of *lane, page []feed.Server) {
	if m.reading != r {
		return
	}
	r.servers = append(r.servers, page...)
	m.world.noteRead(page)
	if m.world.options.Guards.IsByPage {
		m.tellLeaving(page)
	}
	if m.world.Now-m.toldAt >= listing.ProgressInterval {
		m.tellProgress(listing.PageInterval)
	}
	if of.pages = of.pages[1:]; len(of.pages) > 0 {
		m.askPage(r, of)
		return
	}
	m.endLane(r)
}

// endLane ends the reading with its last lane.
func (m *member) endLane(r *reading) {
	r.active--
	switch {
	case m.reading != r || r.active > 0:
	case r.hasFailed:
		m.fail(r)
	default:
		m.finishReading(r)
	}
}

// fail ends a reading whose page could not be had.
func (m *member) fail(r *reading) {
	if m.reading = nil; !r.isResumed && len(r.servers) > 0 {
		m.rest = r
	}
	if m.failures++; m.failures == failedPolls && r.isHolder {
		m.failures, m.unfitUntil = 0, max(m.unfitUntil, m.world.Now+unfitSpan)
	}
	m.endReading(r)
	m.turnLater(readerLook)
}

// endReading notes a reading that has ended, for the rest after it.
func (m *member) endReading(r *reading) {
	m.began, m.ended, m.calls = r.began, m.world.Now, r.calls
}

func (m *member) finishReading(r *reading) {
	w := m.world
	m.reading, m.failures = nil, 0
	w.result.Readings.record(w.Now - r.first)
	servers := feed.Normalize(nil, r.servers)
	m.endReading(r)
	next := m.next() + listing.PageInterval
	if !w.options.Guards.IsByReadings {
		next = m.restOf(!r.isHolder)
	}
	if r.isHolder {
		m.listed = servers
		m.later(max(w.between(2*time.Millisecond, 20*time.Millisecond), m.coordinatorUntil-w.Now), m.publish)
	}
	switch {
	case w.options.Guards.IsByPage:
	case r.isHolder:
		m.later(publishPatience, func() { m.tellLeaving(servers) })
		m.ended += publishPatience
	default:
		m.tellLeaving(servers)
	}
	m.tellProgress(next)
	m.tellRead(r.first)
	m.turnLater(readerLook)
}

// tellRead tells every member that this one has read the whole list.
func (m *member) tellRead(began virtual.Time) {
	age := m.world.Now - began
	m.watch.RecordList(age, m.world.steady())
	for _, to := range m.world.members {
		if to != m {
			m.deliver(to, func() { to.watch.RecordList(age, m.world.steady()) })
		}
	}
}

// tellProgress tells every member that this one reads the list.
func (m *member) tellProgress(next time.Duration) {
	m.toldAt = m.world.Now
	m.watch.RecordPage(m.name, next, m.world.steady())
	for _, to := range m.world.members {
		if to != m {
			m.deliver(to, func() { to.watch.RecordPage(m.name, next, m.world.steady()) })
		}
	}
}
