package departure

import (
	"ploverhitch/internal/clock"
	"ploverhitch/internal/emulator/virtual"
	"ploverhitch/internal/feed"
)

func steadyOf(at virtual.Time) clock.Instant { return clock.Instant(at) }

// proxy is one proxy with its agent: what it has heard, and of which servers that leave
// it has seen that they do.
type proxy struct {
	world *world
	board *feed.Replica
	// from are the members that it follows, with when their last news arrive.
	from map[int]virtual.Time
	// marks are, without the guard, until when a report that a server leaves holds.
	marks map[string]virtual.Time
	// since is from when on a leaving server gets nothing more, where it has been seen.
	since map[string]virtual.Time
}

func newProxy(w *world, index int) *proxy {
	p := &proxy{world: w, board: feed.NewReplica(), from: map[int]virtual.Time{}, marks: map[string]virtual.Time{}, since: map[string]virtual.Time{}}
	for i := range min(followed, len(w.members)) {
		p.from[(index+i*(1+index%2))%len(w.members)] = 0
	}
	return p
}

func (p *proxy) follows(m *member) bool {
	_, isFollowed := p.from[m.index]
	return isFollowed
}

// hear brings news of a member to the proxy, in their order.
func (p *proxy) hear(m *member, news feed.Update) {
	w := p.world
	at := max(p.from[m.index], w.Now+w.newsDelay())
	p.from[m.index] = at
	w.After(at-w.Now, func() { p.take(news) })
}

func (p *proxy) take(news feed.Update) {
	fresh, isNew := p.board.Merge(news)
	if !isNew {
		return
	}
	for _, id := range fresh.Leaving {
		p.marks[id] = p.world.Now + markSpan
	}
	if fresh.Fleet != nil && !p.world.options.Guards.IsFinal {
		p.dropMarks()
	}
	for id := range p.world.leaving {
		p.look(id)
	}
}

// dropMarks forgets what the fleet itself says.
func (p *proxy) dropMarks() {
	for id := range p.marks {
		if !p.board.Fleet.ListsReady(id) {
			delete(p.marks, id)
		}
	}
}

// look notes whether the proxy would still send to the server. It goes back where it
// had seen it leave; where it had not heard of the server at all, it does not.
func (p *proxy) look(id string) {
	_, isSeen := p.since[id]
	switch isServing := p.isServing(id); {
	case !isServing && !isSeen:
		p.since[id] = p.world.Now
	case isServing && isSeen:
		if p.board.Leaving[id] {
			p.world.result.Regressions++
		}
		delete(p.since, id)
	}
}

func (p *proxy) isServing(id string) bool {
	if p.world.options.Guards.IsFinal {
		return p.board.Fleet.ListsReady(id) && !p.board.Leaving[id]
	}
	return p.board.Fleet.ListsReady(id) && p.world.Now >= p.marks[id]
}
