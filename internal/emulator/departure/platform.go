package departure

import (
	"fmt"
	"time"

	"ploverhitch/internal/emulator/virtual"
	"ploverhitch/internal/feed"
)

// departed is one server that leaves: since when the list shows it, and until when it
// serves on.
type departed struct {
	id    string
	shown virtual.Time
	ends  virtual.Time
	// isRead and isTold: a page has shown it, and a member has told it.
	isRead, isTold bool
}

// platform is the list and the bound on its calls.
type platform struct {
	world *world
	pages [][]feed.Server
	// calls are when calls of the last second came.
	calls []virtual.Time
	count int
	made  int
}

func newPlatform(w *world) *platform {
	p := &platform{world: w}
	for range w.options.Size.Pages {
		var page []feed.Server
		for range perPage {
			page = append(page, p.fresh())
		}
		p.pages = append(p.pages, page)
	}
	return p
}

func (p *platform) fresh() feed.Server {
	p.made++
	return feed.Server{ID: fmt.Sprintf("i-%06d", p.made), Service: "s", IsReady: true}
}

// departLater has servers leave one after the other.
func (p *platform) departLater() {
	w := p.world
	w.After(w.between(50*time.Millisecond, 700*time.Millisecond), func() {
		if w.Now < lastDeparture {
			p.depart()
			p.departLater()
		}
	})
}

func (p *platform) depart() {
	w := p.world
	page, place := w.random.IntN(len(p.pages)), w.random.IntN(perPage)
	server := p.pages[page][place]
	if !server.IsReady {
		return
	}
	p.pages[page][place].IsReady = false
	leaver := &departed{id: server.ID, shown: w.Now, ends: w.Now + w.between(shortestEnd, longestEnd)}
	w.begin(leaver)
	w.After(leaver.ends-w.Now, func() {
		p.pages[page][place] = p.fresh()
		w.finish(leaver)
	})
}

// take counts a call, and tells whether the platform answers it.
func (p *platform) take() bool {
	now := p.world.Now
	for len(p.calls) > 0 && now-p.calls[0] > time.Second {
		p.calls = p.calls[1:]
	}
	p.count++
	if float64(len(p.calls)) >= p.world.options.Size.Rate {
		return false
	}
	p.calls = append(p.calls, now)
	return true
}

// latency is how long one call of a member takes; ok is false where it never ends.
func (p *platform) latency(of *member) (took time.Duration, ok bool) {
	w := p.world
	if w.Now < of.platformUntil {
		return 0, false
	}
	took = w.between(6*time.Millisecond, 18*time.Millisecond)
	if w.Now < w.busyUntil {
		took += w.between(0, 60*time.Millisecond)
	}
	if w.Now < of.busyUntil {
		took += w.between(60*time.Millisecond, 230*time.Millisecond)
	}
	hangs, slow := 0.0005, 0.01
	if w.Now < w.platformSlowUntil {
		took, hangs, slow = 2*took, 0.02, 0.1
	}
	switch draw := w.random.Float64(); {
	case draw < hangs:
		return 0, false
	case draw < hangs+slow:
		took += w.between(60*time.Millisecond, 500*time.Millisecond)
	}
	return took, true
}
