package departure

import (
	"slices"
	"strconv"
	"time"

	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/emulator/virtual"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
)

// member is one member of the core.
type member struct {
	world *world
	index int
	name  string
	// life counts its starts: what an earlier one began comes to nothing.
	life  int
	board *feed.Replica
	watch *listing.ReadTracker
	// window spreads the calls.
	window listing.Window
	// isHolder, term, last and listed are the duty's: what was published last, and the
	// list as read last.
	isHolder bool
	term     uint64
	last     feed.Fleet
	listed   []feed.Server
	reading  *reading
	rest     *reading
	failures int
	// began, ended and calls are of the last reading.
	began, ended virtual.Time
	calls        int
	// Until when what goes wrong lasts.
	deadUntil, frozenUntil, diskUntil, platformUntil, coordinatorUntil, unfitUntil, busyUntil virtual.Time
	// toldAt is when the member last told that it reads the list.
	toldAt virtual.Time
	// beatAt is when a heartbeat was sent last.
	beatAt virtual.Time
	turns  int
}

func newMember(w *world, index int) *member {
	return &member{world: w, index: index, name: "10.0.0." + strconv.Itoa(index+1) + ":7200", board: feed.NewReplica(), watch: listing.NewReadTracker(0)}
}

func (w *world) view() (view membership.View) {
	view.Epoch = 1
	for _, m := range w.members {
		view.Members = append(view.Members, m.name)
	}
	return view
}

// kill ends the process; it starts again after the span with what its disk holds.
func (m *member) kill(span time.Duration) {
	m.life++
	m.deadUntil, m.isHolder, m.listed, m.reading, m.rest = m.world.Now+span, false, nil, nil, nil
	// The fleet is on the disk; what was told beside it is not.
	fleet := m.board.Fleet
	m.board = feed.NewReplica()
	m.board.Merge(feed.Update{Fleet: &fleet})
	m.world.After(span, func() {
		m.later(m.world.between(100*time.Millisecond, 500*time.Millisecond), m.catchUp)
		m.watch = listing.NewReadTracker(m.world.steady())
		m.turnLater(m.world.between(200*time.Millisecond, 700*time.Millisecond))
	})
}

// catchUp brings a member that has started what the holder tells it.
func (m *member) catchUp() {
	if holder := m.world.holder; holder >= 0 && holder != m.index {
		m.keep(m.world.members[holder].board.Snapshot())
	}
}

// later runs an act of this life of the member; one that is frozen acts as it thaws.
func (m *member) later(delay time.Duration, act func()) {
	life := m.life
	m.world.After(delay, func() {
		switch {
		case m.life != life || m.world.Now < m.deadUntil:
		case m.world.Now < m.frozenUntil:
			m.later(m.frozenUntil-m.world.Now, act)
		default:
			act()
		}
	})
}

// deliver brings a message to another member.
func (m *member) deliver(to *member, act func()) {
	if m.world.Now < m.frozenUntil {
		return
	}
	to.later(m.world.between(500*time.Microsecond, 4*time.Millisecond), act)
}

// publish tells every member the fleet under this node's term, where it has changed.
func (m *member) publish() {
	w := m.world
	if !m.isHolder || w.Now < m.coordinatorUntil || w.Now < m.frozenUntil || len(m.listed) == 0 {
		return
	}
	next := feed.Fleet{Term: m.term, Count: m.last.Count, Servers: m.listed, Leader: m.name}
	if w.options.Guards.IsFinal {
		next.Servers = m.board.MarkLeaving(next.Servers)
	}
	if m.last.Term == m.term && slices.Equal(m.last.Servers, next.Servers) {
		return
	}
	next.Count++
	m.last = next
	for _, to := range w.members {
		m.deliver(to, func() { to.keep(feed.Update{Fleet: &next}) })
	}
}

// keep takes a fleet once the member's disk has it.
func (m *member) keep(news feed.Update) {
	sync := m.world.between(5*time.Millisecond, 30*time.Millisecond) + max(0, m.diskUntil-m.world.Now)
	m.later(sync, func() { m.take(news) })
}

// take merges news and passes on what was newer.
func (m *member) take(news feed.Update) {
	fresh, isNew := m.board.Merge(news)
	if !isNew {
		return
	}
	m.world.noteTold(m.board)
	for _, p := range m.world.proxies {
		if p.follows(m) {
			p.hear(m, fresh)
		}
	}
}

// untold are the servers that the read list shows leaving and that are to be told.
func (m *member) untold(read []feed.Server) (ids []string) {
	if m.world.options.Guards.IsFinal {
		return m.board.UnreportedLeaving(read)
	}
	for _, server := range read {
		if !server.IsReady && m.board.Fleet.ListsReady(server.ID) {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// tellLeaving tells every member which servers the read list shows leaving.
func (m *member) tellLeaving(read []feed.Server) {
	ids := m.untold(read)
	if len(ids) == 0 {
		return
	}
	news := feed.Update{Leaving: ids}
	for _, to := range m.world.members {
		if to != m {
			m.deliver(to, func() { to.take(news) })
		}
	}
	m.take(news)
}
